#!/bin/sh
# Builds the driver of the scripts. It holds every stand-in that they use: the
# store, the endpoints, the clients and the platform. The scripts start the
# program of the deploy file, target/siskingw, which is built beforehand.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -tags review -o review/bin/harness ./review/harness
