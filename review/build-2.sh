#!/usr/bin/env bash
# Checks the stand-ins of cases 4 to 8. They are plain JavaScript of Node.js 20 without dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [4-8]/*.mjs; do
    node --check "$file"
done
test -f ../target/pebbledale-entry.cjs || {
    echo "target/pebbledale-entry.cjs is missing: run the build of deploy/system.toml first" >&2
    exit 2
}
