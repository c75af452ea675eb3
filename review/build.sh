#!/bin/sh
# The stand-ins of the scripts are plain modules of Node.js without
# dependencies: there is nothing to compile, so they are only checked.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
[ -e ../target/apricotyoked.mjs ] || echo "run the build of the deploy file first"
