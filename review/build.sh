#!/usr/bin/env bash
# Builds what the scripts of the cases run: the stand-ins of this repository and the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run --silent build
npm run --silent build:platform
