#!/usr/bin/env bash
# Formatter, linter, docs, then README's test command with the entries of KNOWN-RED.txt set apart.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
python3 tools/ci/run_tests.py
