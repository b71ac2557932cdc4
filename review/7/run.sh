#!/usr/bin/env bash
# Plays the case of claim.txt: exit code 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/service.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/standin2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review2/standin2 arrays review/7
