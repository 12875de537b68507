#!/usr/bin/env bash
# Checks the stand-ins of the scripts in review/6 to review/10. They are plain modules and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs [0-9]*/script.mjs; do [ -e "$file" ] && node --check "$file"; done
