#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain modules of Node.js
# without dependencies, and run in the process of their script: there is nothing to compile.
set -e
cd "$(dirname "$0")"
for file in stand_ins_2/*.mjs loose/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
