#!/usr/bin/env bash
# Compiles the stand-ins that the cases start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 --release 17 -d target/review review/standin/*.java
