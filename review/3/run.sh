#!/usr/bin/env bash
# Plays this case; see claim.txt. Exit 1: the rule was broken, 0: it held, 2: it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." && . build/jdk.sh && [ -f target/review/StopInOutage.class ] && [ -f target/gullsaddle.jar ] || exit 2
exec java -cp "target/review:target/lib/*" StopInOutage "$here/record.txt"
