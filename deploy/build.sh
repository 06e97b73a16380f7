#!/bin/sh
# Usage: deploy/build.sh DIRECTORY LDFLAGS PACKAGE...
# Builds programs into a directory.
set -e
cd "$(dirname "$0")/.."
dir=$1 ldflags=$2
shift 2
# A failed build must leave no earlier program behind that could be taken for this one.
for package in "$@"; do
	rm -f "$dir/$(basename "$package")"
done
# The go command records the revision by itself, but fails where git refuses to read the
# repository, as in a checkout of another user.
exec ${GO:-go} build -buildvcs=false -ldflags "$ldflags" -o "$dir/" "$@"
