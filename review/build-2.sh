#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need the standard library
# only. The gateway itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
