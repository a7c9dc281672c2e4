#!/bin/sh
# Builds the stand-ins that the scripts of review cases 4 to 8 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild standins/direct/main.ts --bundle --platform=node --format=esm --target=node20 \
  --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" \
  --outfile=target/review-2/direct.mjs --log-level=warning
