#!/usr/bin/env bash
# Writes a class data archive for each role: daemon/target/gateway.jsa and daemon/target/controller.jsa.
# Starts one controller and one gateway on loopback, sends a few requests, and stops both. A process without an
# archive starts more slowly and is the same otherwise, so a failure here is reported and does not fail the build.
set -u
cd "$(dirname "$0")/.."
target=daemon/target
folder=$(mktemp -d "$target/archive.XXXXXX")
readonly target folder
readonly controller_host=127.0.0.2 gateway_host=127.0.0.1
readonly attempts=100 pause_s=0.1
port=$((20000 + RANDOM % 10000))
pids=()

end_processes() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  rm -rf "$folder"
}
trap end_processes EXIT

give_up() {
  echo "no class data archives: $1" >&2
  tail -n 3 "$folder"/*.log >&2
  rm -f "$target"/*.jsa
  exit 0
}

write_settings() { # ROLE HOST
  sed -e "s/ROLE/$1/" -e "s/HOST/$2/" >"$folder/$1.ini" <<INI
[process]
node = ROLE
role = ROLE
dataFolder = $folder/data
bootstrap = true
lossesToBear = 0
seeds = $controller_host:$((port + 1))
[listen]
host = HOST
memberPort = $port
callers = HOST:$((port + 2))
ready = HOST:$((port + 3))
control = HOST:$((port + 1))
metricsPort = $((port + 4))
[platform]
machines = $controller_host:$((port + 5))
advice = $controller_host:$((port + 5))
[timing]
stopMillis = 1000
INI
}

start() { # ROLE HOST HEAP
  write_settings "$1" "$2"
  java "-Xmx$3" -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.machineId=02:00:00:00:00:00:00:01 \
    -Dvertx.disableDnsResolver=true "-XX:ArchiveClassesAtExit=$target/$1.jsa" \
    -jar "$target/plantainknotd.jar" --settings "$folder/$1.ini" >"$folder/$1.log" 2>&1 &
  pids+=($!)
}

# Sends a request and prints the status code of its answer.
request() { # HOST PORT METHOD PATH BODY
  local line status
  exec 3<>"/dev/tcp/$1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Type: application/json\r\n' "$3" "$4" >&3
  printf 'X-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s' "${#5}" "$5" >&3
  read -r -t 5 _ status line <&3
  exec 3>&-
  echo "$status"
}

await_success() { # HOST PORT METHOD PATH BODY
  for ((i = 0; i < attempts; i++)); do
    [[ $(request "$@" 2>/dev/null) == 2* ]] && return 0
    sleep "$pause_s"
  done
  give_up "$3 $4 was not answered with success"
}

config='{"version":1,"routes":[{"name":"r","host":"jobs.example","path_prefix":"/jobs/","kind":"unsafe","timeout_ms":3000,
"target_latency_ms":600,"priority":0,"service":"s","max_attempts":2,"stretch":2}],"services":[{"name":"s","admission_check":true,
"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"spare":false}],"limits":{"max_header_bytes":16384,
"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
worker='{"service":"s","address":"'$controller_host:$((port + 6))'","zone":"z","version":"v1","slots":8,"state":"ready",
"cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"clock_ms":1,"seq":1,"born":1,"machine":"m"}'
job='{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":900}]}'

[[ -f $target/plantainknotd.jar ]] || give_up "$target/plantainknotd.jar is missing"
start controller "$controller_host" 192m
start gateway "$gateway_host" 96m
await_success "$controller_host" $((port + 1)) PUT /config "$config"
await_success "$gateway_host" $((port + 3)) GET /ready ""
await_success "$controller_host" $((port + 1)) PUT /instances/w1 "$worker"
await_success "$gateway_host" $((port + 2)) POST /jobs/00000000000000aa "$job"
await_success "$gateway_host" $((port + 2)) GET /jobs/00000000000000aa ""
await_success "$gateway_host" $((port + 2)) GET /jobs/ ""
await_success "$gateway_host" $((port + 2)) DELETE /jobs/00000000000000aa ""
await_success "$controller_host" $((port + 1)) GET /config ""
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
[[ -f $target/gateway.jsa && -f $target/controller.jsa ]] || give_up "the processes wrote none"
