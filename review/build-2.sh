#!/bin/bash
# Builds the stand-ins of the cases 6 to 10; they use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings --crate-name review_2 -o target/review-2/review-2 review/standins-2/main.rs
