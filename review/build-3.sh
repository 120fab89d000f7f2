#!/usr/bin/env bash
# Builds the program of the scripts of the third review: their clients, and the project's own stand-ins.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
CARGO_TARGET_DIR="$root/target/review-3" \
    cargo build --release --locked --offline --manifest-path "$root/review/lib-3/Cargo.toml"
