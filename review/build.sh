#!/usr/bin/env bash
# Makes the program of the deploy file if the build has not made it. The stand-ins need no build.
set -eu
cd "$(dirname "$0")/.."
[ -f target/pebbledale-entry.cjs ] || node deploy/bundle.mjs
