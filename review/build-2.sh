#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start, under target/review-2/, those of
# the second sitting in its folder second/. The gateway itself is built by the deploy file's
# build.
set -eu
cd "$(dirname "$0")/.."
. build/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2/second
javac -Xlint:all -d target/review-2 review/standin-2/*.java
javac -Xlint:all -d target/review-2/second review/standin-3/*.java
