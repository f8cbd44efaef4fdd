#!/usr/bin/env bash
# Builds every stand-in that a case of the second review starts, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
# The project's own collector of flows, which the program collector_cut starts.
cargo build --release --locked --offline -p deckproxy-lab
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
