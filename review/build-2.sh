#!/bin/sh
# Builds the stand-ins that the scripts of review/6 on start; the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
