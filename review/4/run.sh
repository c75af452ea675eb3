#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 118 node case.mjs
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
