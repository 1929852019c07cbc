#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. It needs rustc alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standins-2/main.rs
