#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into review/target.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target/review-3
mkdir -p review/target/review-3
javac -Xlint:all -d review/target/review-3 review/standin-3/*.java
