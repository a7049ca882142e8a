#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/1/standins/main.rs
