#!/usr/bin/env bash
# Builds the stand-ins and cases into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp 'daemon/target/lib/*' review/1/standin/*.java review/*/*.java
