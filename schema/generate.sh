#!/usr/bin/env bash
# Generates the Rust types of messages, configuration objects and settings from the JSON schemas.
set -eu
cd "$(dirname "$0")/.."
for pair in link:wire/src contract:contract/src operator:contract/src/operator; do
  schema=${pair%%:*} out=crates/${pair##*:}/generated.rs
  cargo typify --no-builder -a PartialEq --map-type "::std::collections::BTreeMap" --output "$out" "schema/$schema.json"
  rustfmt --edition 2024 "$out"
done
out=crates/settings/src/generated.rs
cargo run --quiet -p schema --example settings -- schema/settings.json >"$out.new"
mv "$out.new" "$out"
rustfmt --edition 2024 "$out"
