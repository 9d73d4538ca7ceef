#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the compiler alone; they use no library but the standard one.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/stand-in-2/main.rs
