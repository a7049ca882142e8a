#!/usr/bin/env bash
# Plays the deployments of the regression runs with the users' bench and prints their scores beside the
# last committed ones. Needs the users' kit, so it is not part of .ci/run.
#
#   scripts/regression.sh BENCH SITE...
#
# BENCH is the bench's program, each SITE a site file. Environment: JOBS, days at a time (2).
set -euo pipefail
cd "$(dirname "$0")/.."

if (($# < 2)); then
  echo "usage: scripts/regression.sh BENCH SITE..." >&2
  exit 2
fi
readonly bench=$1
shift

# Prints "day worth" for each day of a journal entry.
worths() {
  python3 - "$1" <<'PYTHON'
import json
import re
import sys

digest = json.load(open(sys.argv[1])).get("digest") or ""
for day, worth in re.findall(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)", digest, re.M):
    print(day, worth)
PYTHON
}

# Prints the newest committed score of a site, if there is one.
last_score() {
  git ls-files 'journal/*.json' | sort -r | while read -r entry; do
    if grep -qE '"cmd": *"score"' "$entry" && grep -q "/$1.toml" "$entry"; then
      echo "$entry"
      break
    fi
  done
}

for site in "$@"; do
  name=$(basename "$site" .toml)
  before=$(last_score "$name")
  "$bench" score "$site" --jobs "${JOBS:-2}" --why "regression run of $name"
  after=$(find journal -name '*.json' -newer "$site" -printf '%T@ %p\n' | sort -n | tail -1 | cut -d' ' -f2)
  echo "== $name: worth by day, before (${before:-none}) and now ($after)"
  if [[ -n $before ]]; then
    join -a 2 -e - -o 0,1.2,2.2 <(worths "$before" | sort) <(worths "$after" | sort)
  else
    worths "$after"
  fi
done
