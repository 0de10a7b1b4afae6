#!/usr/bin/env bash
# Compiles the stand-ins of the cases in review/9 and after into target/review-3.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
. "$home/build/jdk.sh"
cd "$home"
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 review/standin-3/*.java
