#!/usr/bin/env bash
# Regenerates the committed Java code of the wire module. Run it after changing a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's|.*<protobuf.version>\(.*\)</protobuf.version>.*|\1|p' pom.xml)
mvn -B -q dependency:copy -Dartifact="com.google.protobuf:protoc:${version}:exe:linux-x86_64" -DoutputDirectory=wire/target/protoc
protoc="wire/target/protoc/protoc-${version}-linux-x86_64.exe"
chmod +x "$protoc"
"$protoc" -I wire/src/main/proto --java_out=wire/src/main/java wire/src/main/proto/*.proto
