#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 need. Their stand-ins are plain
# JavaScript without dependencies, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/apricotyoked.mjs ] || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
