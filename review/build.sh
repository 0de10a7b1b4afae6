#!/usr/bin/env bash
# Builds the cases' stand-ins and consumers, after the build of the deploy file, whose
# libraries they read JSON with. Needs no network.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
. "$home/build/jdk.sh"
cd "$home"
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp "target/lib/*" review/standin/*.java
