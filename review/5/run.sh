#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
folder=$PWD
root=$(cd ../.. && pwd)
[[ -d $root/review/target/review ]] || { echo "run review/build.sh first"; exit 2; }
exec timeout 115 java -Xmx128m -XX:+UseSerialGC -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp "$root/review/target:$root/daemon/target/lib/*" review.Cases stop "$folder" "$root"
