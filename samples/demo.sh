#!/usr/bin/env bash
# Starts the fakes and three entry hosts on loopback, sends a short and a long
# request through each host, prints the answers and the time to first token,
# and stops everything in good order.
# Usage: samples/demo.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
logs=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap stop_all EXIT

start_fake() {
  "$build/gooseberrylift-fakes" "$1" --settings "samples/demo/$2.json" \
    > "$logs/$2.out" 2>&1 &
  pids+=($!)
}
start_fake store store
start_fake hosts hosts
start_fake service service
for number in 1 2 3; do start_fake engine "engine-$number"; done

host_pids=()
for number in 1 2 3; do
  "$build/gooseberrylift" serve --settings "samples/demo/host-$number.json" \
    2> "$logs/host-$number.log" &
  host_pids+=($!)
  pids+=($!)
done

for number in 1 2 3; do
  for attempt in $(seq 100); do
    curl -sf "http://127.0.0.1:1818$number/readyz" > /dev/null && break
    [ "$attempt" -lt 100 ] || { echo "host $number is not ready"; cat "$logs"/*; exit 1; }
    sleep 0.1
  done
done

# ask HOST MODEL PROMPT_FILE: sends one streamed request and times its first
# event.
ask() {
  local begin first line status text
  begin=$(date +%s%N)
  curl -sN "http://127.0.0.1:1808$1/v1/chat/completions" \
    -H "Authorization: Bearer front-desk-demo-key" \
    -H "Content-Type: application/json" --data-binary "@$3" \
    -w 'status %{http_code}\n' | {
    IFS= read -r line
    date +%s%N > "$logs/first"
    printf '%s\n' "$line"
    cat
  } > "$logs/answer"
  first=$(( ($(cat "$logs/first") - begin) / 1000000 ))
  status=$(grep -o '^status [0-9]*' "$logs/answer" | cut -d' ' -f2)
  text=$(grep -o '"content":"[^"]*"' "$logs/answer" | cut -d'"' -f4 | tr -d '\n')
  printf 'entry-%s  %-14s status %s  first token %5s ms  answer: %s\n' \
    "$1" "$2" "$status" "$first" "$text"
  [ "$status" = 200 ] && grep -q '\[DONE\]' "$logs/answer"
}

printf '{"model":"room-state","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Is room 12 ready?"}]}' \
  > "$logs/short.json"
{
  printf '{"model":"season-reviews","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"'
  head -c 2000000 /dev/zero | tr '\0' 'r'
  printf '"}]}'
} > "$logs/long.json"

for number in 1 2 3; do
  ask "$number" room-state "$logs/short.json"
  ask "$number" season-reviews "$logs/long.json"
done
printf 'plain service: '
curl -sf "http://127.0.0.1:18081/services/room-board/rooms/12" \
  -H "Authorization: Bearer front-desk-demo-key"
echo

for pid in "${host_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${host_pids[@]}"; do
  wait "$pid" && echo "an entry host stopped in good order"
done
