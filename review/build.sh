#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies, so there is nothing to compile.
# Checks that they parse, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
[ -f ../target/launch.js ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
