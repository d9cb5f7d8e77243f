#!/usr/bin/env bash
# Builds the daemon of the platform as one file, which starts faster than its modules.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
npx esbuild src/platform/main.ts --bundle --platform=node --target=node20 --minify \
  --external:dtrace-provider --external:mv --external:moment --external:safe-json-stringify \
  --log-level=warning --outfile=target/edge.js
