#!/bin/sh
# Usage: deploy/build.sh DIRECTORY LDFLAGS PACKAGE...
# Builds programs into a directory and records the revision in them.
set -e
cd "$(dirname "$0")/.."
dir=$1 ldflags=$2
shift 2
# A failed build must leave no earlier program behind that could be taken for this one.
for package in "$@"; do
	rm -f "$dir/$(basename "$package")"
done
# go build fails where git refuses to read the repository, as in a checkout of another
# user. The revision is left out there.
revision=$(git describe --always --dirty --abbrev=40 --exclude='*' 2>/dev/null) || revision=
[ "$(git rev-parse --show-prefix 2>/dev/null)" = "" ] || revision= # this tree is only part of a repository
exec ${GO:-go} build -buildvcs=false -ldflags "$ldflags -X siskingw/buildinfo.revision=$revision" -o "$dir/" "$@"
