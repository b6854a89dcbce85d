#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
folder=$PWD
root=$(cd ../.. && pwd) || exit 2
if [[ ! -f $root/daemon/target/plantainknotd.jar || ! -f $root/target/review/review/Cases.class ]]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
timeout -k 4 112 java -Xmx128m -XX:+UseSerialGC \
  -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp "$root/target/review:$root/daemon/target/lib/*" review.Cases long-schedule "$folder" "$root"
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # Cases.BROKEN; a virtual machine that fails by itself exits with 1
  *) exit 2 ;;
esac
