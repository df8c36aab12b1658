#!/usr/bin/env bash
# Checks every specification with spin, and that each seeded mistake in it is caught.
# Prints a line for each run: specification, defines, verdict and states explored.
set -eu
cd "$(dirname "$0")"
specs=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check EXPECTED SPECIFICATION [DEFINES]: one whole search, breadth first.
check() {
  local expected=$1 spec=$2 defines="${*:3}" verdict=unfinished
  local dir output errors states
  dir=$(mktemp -d -p "$work")
  cd "$dir"
  # shellcheck disable=SC2086
  spin $defines -a "$specs/$spec.pml" >/dev/null
  gcc -w -O2 -DSAFETY -DBFS -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
  output=$(./pan -E 2>&1) || true
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$output")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output")
  if grep -q 'Search not completed' <<<"$output" && [ "$errors" = 0 ]; then
    verdict=unfinished
  elif [ "$errors" = 0 ]; then
    verdict=holds
  elif grep -q 'assertion violated' <<<"$output"; then
    verdict=violated
  fi
  printf '%-8s %-34s %-10s %10s states\n' "$spec" "${defines:--}" "$verdict" "$states"
  if [ "$verdict" != "$expected" ]; then
    echo "  expected: $expected" >&2
    failed=1
  fi
  cd "$specs"
  rm -rf "$dir"
}

check holds config
check violated config -DNO_ACK_MAJORITY
check violated config -DRESTART_COUNTS
check violated config -DLAPSE_SHRINKS

check holds slots
check holds slots -DCLOSING -DREQUESTS=3
check violated slots -DSKIP_WAIT
check violated slots -DSKIP_REPORTS
check violated slots -DANY_REPORT
check violated slots -DKEEP_GRANTING
check violated slots -DTRUST_HELD -DCLOSING -DREQUESTS=3
check violated slots -DNO_LAST_CHECK -DCLOSING
check violated slots -DTTL_FROM_RECEIPT -DCLOSING

check holds record
check violated record -DINSERT_AFTER_DISPATCH
check violated record -DTRUST_LOST_ANSWER
check violated record -DBLIND_SWEEP
check violated record -DNOT_RUN_ON_TIMEOUT

exit $failed
