#!/usr/bin/env bash
# Bundles the platform daemon and its launcher, and writes the V8 code cache for a fast startup.
set -euo pipefail
cd "$(dirname "$0")/.."
# Through a link, `npm ci` would empty the folder of another checkout.
[ -L node_modules ] || [ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
bundle() {
  npx esbuild "$1" --bundle --platform=node --target=node20 --minify --sourcemap=external --log-level=warning \
    --external:dtrace-provider --external:mv --external:moment --external:safe-json-stringify \
    --alias:undici=./deploy/undici.js --alias:assert=./deploy/assert.js \
    --alias:node:assert=./deploy/assert.js --outfile="$2"
}
bundle src/platform/main.ts target/edge.js
bundle src/platform/launch.ts target/launch.js
node --max-old-space-size=200 target/launch.js --write-cache
