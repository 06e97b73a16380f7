#!/bin/sh
# Builds the stand-ins of the script cases 6 to 10. Run the build line of
# deploy/system.toml first.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -tags review -o target/kit-2 ./review/kit-2
