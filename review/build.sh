#!/bin/bash
# The stand-ins of the cases are plain Node.js modules without dependencies: nothing is compiled.
# Checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [0-9]*/case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
