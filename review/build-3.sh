#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases 11 to 15 into target/review-3. It needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standin-3/*.java
