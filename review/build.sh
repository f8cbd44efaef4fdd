#!/usr/bin/env bash
# Builds the stand-ins that the cases start: one program, in target/review, from review/standins. It has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
