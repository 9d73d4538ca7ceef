#!/bin/sh
# A tenant without a guarantee keeps using accelerators that another tenant claims under its guarantee.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/case ]; then
    echo "build the stand-ins first: review/build-2.sh" >&2
    exit 2
fi
exec target/review-2/case guarantee review/9/record.txt
