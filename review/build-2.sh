#!/bin/sh
# Builds the stand-ins and the cases of the second review. Run it after the build of the deploy file. Cases 6 and 7
# have stand-ins in review/6/standin, built into target/review-2, cases 8 to 10 in review/8/standin, built into
# target/review-2b.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2 target/review-2b
mkdir -p target/review-2 target/review-2b
javac -d target/review-2 -cp 'daemon/target/lib/*' review/6/standin/*.java \
  review/6/*.java review/7/*.java
javac -d target/review-2b -cp 'daemon/target/lib/*' review/8/standin/*.java \
  review/8/*.java review/9/*.java review/10/*.java
