#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/8/standins/main.rs
rustc --edition 2024 -O -o target/review-2/standins-bytes review/4/standins/main.rs
