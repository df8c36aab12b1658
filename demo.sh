#!/usr/bin/env bash
# Builds the programs, starts a whole site on this machine and sends a few requests.
#   ./demo.sh --once   ends after the requests; the last line is JSON
#   ./demo.sh --keep   stays up until interrupted; one line is JSON about the site
set -eu
cd "$(dirname "$0")"
cargo build --quiet --package node --package ctl --bins
cargo build --quiet --package standin --examples
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo" "$@"
