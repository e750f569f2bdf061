#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption. Writes record.txt beside this file.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/review/bin/stand" ] || [ ! -x "$root/target/ochrebay" ]; then
  bash "$root/review/build.sh" >&2 || exit 2
fi
exec "$root/review/bin/stand" succession "$root/target/ochrebay" "$here/record.txt"
