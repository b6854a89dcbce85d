#!/usr/bin/env bash
# Builds the stand-ins into review/target. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/target
javac -d review/target -cp 'daemon/target/lib/*' review/standin/*.java
