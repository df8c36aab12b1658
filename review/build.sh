#!/bin/sh
# Builds the program that holds the stand-ins and checks of all cases. It has no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
