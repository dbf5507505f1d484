#!/usr/bin/env bash
# A model engine is lost while it reads a long prompt with the help of others.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gooseberrylift ] || [ ! -x review/build/stand-ins ]; then
  echo "build target/gooseberrylift and review/build/stand-ins first"
  exit 2
fi
timeout -k 2 118 review/build/stand-ins lost-reader review/3/record.txt
result=$?
grep -vE '  (client|engine) ' review/3/record.txt | tail -n 8
[ "$result" -le 1 ] || exit 2
exit "$result"
