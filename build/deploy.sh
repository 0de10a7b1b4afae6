#!/usr/bin/env bash
# Builds what the platform runs, all under target/: the jars, a runtime of their own, and
# an archive of loaded classes, which halves a node's start.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
. "$home/build/jdk.sh"
cd "$home"
mvn -B -q -Dmaven.test.skip -pl platform,platform/standin -am package
mkdir -p target/lib
rm -rf target/lib/* target/runtime target/app.jsa
cp platform/target/lib/*.jar target/lib/
cp platform/target/gullsaddle-platform-*.jar target/gullsaddle.jar
jlink --add-modules java.base,java.logging,java.management,jdk.management,java.naming,java.sql,java.xml,jdk.unsupported,java.desktop,jdk.net \
	--generate-cds-archive --strip-debug --no-header-files --no-man-pages --output target/runtime
. build/train.sh
