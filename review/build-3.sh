#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/11/standin/*.java
