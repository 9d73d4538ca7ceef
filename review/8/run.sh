#!/bin/sh
# The leader dies while jobs are handed in and their key is taken away: jobs that were refused run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/case ]; then
    echo "build the stand-ins first: review/build-2.sh" >&2
    exit 2
fi
exec target/review-2/case refused review/8/record.txt
