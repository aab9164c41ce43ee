#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the rule has to hold then.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/chiverelay-node ] || {
    echo "build the deploy file and review/build.sh first"
    exit 2
}
TROUBLE="${TROUBLE:-1}" target/review/stand lost review/2
code=$?
[ $code -le 1 ] || code=2
exit $code
