#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so nothing has to be compiled; only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs */case.mjs; do node --check "$file"; done
