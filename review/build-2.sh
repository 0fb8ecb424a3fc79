#!/usr/bin/env bash
# Compiles the stand-ins and scenarios of the second review, into target/review-2. They use only what the JDK holds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 --release 17 -d target/review-2 review/standin-2/*.java
