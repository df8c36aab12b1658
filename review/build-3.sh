#!/bin/sh
# Builds the stand-ins and cases of the third review, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
