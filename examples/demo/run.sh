#!/usr/bin/env bash
# Starts a fleet on loopback, sends requests through it and stops it. Run it
# with "make demo", which builds the binaries first.
set -euo pipefail
cd "$(dirname "$0")/../.."

logs=$(mktemp -d)
pids=()
routers=()

# stop ends the processes that this script has started and waits for them.
stop() {
  local status=$?
  for pid in "${routers[@]}" "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    tail -n 5 "$logs"/*.log >&2
  fi
  rm -rf "$logs"
}
trap stop EXIT

start() { # name command...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

step() { printf '\n== %s\n' "$*"; }

# await repeats a command until it succeeds, for 30 s at most.
await() {
  local deadline=$((SECONDS + 30))
  until "$@" >"$logs/await.log" 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      cat "$logs/await.log" >&2
      return 1
    fi
    sleep 0.2
  done
}

operators=(--router 127.0.4.1:9090)
chat() { # router-number request-id turns...
  local router=$1 request=$2
  shift 2
  local messages=()
  for m in "$@"; do messages+=(--message "$m"); done
  bin/standin chat --url "http://127.0.4.$router:8080" --workspace clinic --chat aprons \
    --model linen-chat --request-id "$request" "${messages[@]}"
}
confirm() { # router-number
  bin/standin call --url "http://127.0.4.$1:8080" --workspace clinic --service booking --call confirm \
    --key pickup-dock-4 --body '{"dock": 4}'
}

step "Start the platform, four engines and two booking endpoints"
start platform bin/standin platform --address 127.0.4.200:8500
for i in 1 2 3 4; do start "engine-$i" bin/standin engine --address "127.0.4.1$i:8600" --name "engine-$i"; done
for i in 1 2; do start "booking-$i" bin/standin service --address "127.0.4.2$i:8700" --name "booking-$i"; done

step "Start three routers and apply the configuration"
for i in 1 2 3; do
  bin/bergamotdale router --settings "examples/demo/router-$i.yaml" >"$logs/router-$i.log" 2>&1 &
  routers+=($!)
done
await bin/bergamotdale config apply examples/demo/configuration.yaml --base 0 --author demo --comment "first configuration" "${operators[@]}"
await bash -c 'for i in 1 2 3; do bin/bergamotdale status --json --router 127.0.4.$i:9090 | grep -q "\"ready\": *true" || exit 1; done'
bin/bergamotdale config wait "${operators[@]}"

step "A chat returns through another router and finds its cache"
turn="the aprons of the night shift were returned with oil stains on the left sleeve, twelve of forty"
chat 1 demo-turn-1 "$turn"
chat 2 demo-turn-2 "$turn" "which of them can be pressed again before the morning trucks leave the dock at five"
chat 3 demo-turn-3 "$turn" "which of them can be pressed again before the morning trucks leave the dock at five" "and the others"

step "A booking is repeated through three routers and runs once"
for i in 1 2 3; do confirm "$i"; done

step "Load of three priority classes for five seconds"
bin/standin load --url http://127.0.4.1:8080 --url http://127.0.4.2:8080 --url http://127.0.4.3:8080 \
  --workspace hotel --model linen-chat --class urgent --class normal --class batch --rate 3 --duration 5s --seed 1

step "What the routers know"
bin/bergamotdale status "${operators[@]}"

step "The time line of one request, from all routers"
bin/bergamotdale timeline --request demo-turn-2 "${operators[@]}"

step "Stop the routers gracefully"
for pid in "${routers[@]}"; do kill -TERM "$pid"; done
for pid in "${routers[@]}"; do wait "$pid"; done
routers=()
grep -h '"router stopped"' "$logs"/router-*.log | sed 's/^/  /'
step "Done"
