#!/usr/bin/env bash
# Compiles the stand-ins and scenarios of the second review. They use only what the Java runtime holds.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p classes
javac -nowarn -d classes ./*.java
