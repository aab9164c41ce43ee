#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. The instances
# themselves are built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-3 review/stand-3/src/main.rs
