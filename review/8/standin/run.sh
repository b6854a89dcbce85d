# Runs the program $1 of the case $2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Sourced by the run.sh of each case, in the repository's root.
[ -f "target/review-2b/$1.class" ] && [ -f daemon/target/plantainknotd.jar ] || {
  echo "build the deploy file, then run review/build-2.sh"
  exit 2
}
timeout 115 java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "target/review-2b:daemon/target/lib/*" "$1" "review/$2" &
program=$!
trap 'kill "$program"' TERM INT HUP
wait "$program"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) wait "$program"; exit 2 ;;
esac
