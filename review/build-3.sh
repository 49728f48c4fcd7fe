#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/case review/standins-3/main.rs
