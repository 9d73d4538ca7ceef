#!/bin/sh
# Builds the stand-ins of clients, workers and the operator, which the scripts of the cases start.
# They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-in review/stand-in/main.rs
