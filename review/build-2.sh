#!/bin/sh
# The stand-ins of the cases 6 to 10 are in review/lib-2 and need no compiler. Checks them with the runtime of the deployment.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-9]/case.mjs review/10/case.mjs; do
	target/node --check "$file"
done
