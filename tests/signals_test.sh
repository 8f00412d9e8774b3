#!/usr/bin/env bash
# Guards against a program that ends on SIGHUP, or that takes a file that makes no sense: starts the sidecar,
# reloads a good file, a bad one and none, and ends it with reloads round the notice.
set -euo pipefail
program=$1
example=$2
dir=$(mktemp -d)
trap 'kill -9 "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT

config() { sed -e 's/127.0.0.1:8081/127.0.0.1:0/' -e "s/127.0.0.1:8500/$1/" "$example" >"$dir/config.json"; }
wait_for() {
  for _ in $(seq 200); do
    if grep -q "$1" "$dir/log"; then return 0; fi
    sleep 0.05
  done
  echo "the log never said: $1"
  cat "$dir/log"
  exit 1
}

config 127.0.0.1:1
ROUTER_DISCOVERY=127.0.0.1:2 ROUTER_CONFIG=$dir/config.json "$program" 2>"$dir/log" &
pid=$!
wait_for 'listens on'
config 127.0.0.1:3
kill -HUP "$pid"
wait_for 'discovery at 127.0.0.1:3'
echo '{' >"$dir/config.json"
kill -HUP "$pid"
wait_for 'keeps the configuration it has: configuration: the file'
rm "$dir/config.json"
kill -HUP "$pid"
wait_for 'names a file that cannot be read'
kill -HUP "$pid"
kill -TERM "$pid"
kill -HUP "$pid"
wait "$pid"
grep -q 'ends; counters' "$dir/log"
