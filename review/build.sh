#!/bin/sh
# The stand-ins of the scripts are in review/lib and need no compiler. Checks them with the runtime of the deployment.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
	target/node --check "$file"
done
