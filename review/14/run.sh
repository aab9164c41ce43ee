#!/bin/sh
# Case 14. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
for program in target/release/chiverelay-node target/review-3/stand-3; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-3/stand-3 headers "$here/record.txt"
