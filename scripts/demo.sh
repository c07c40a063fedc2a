#!/usr/bin/env bash
# Start a small fleet on loopback, apply a configuration, and request a long
# answer while an engine is killed.  With --keep the fleet keeps running after
# the demonstration.
set -euo pipefail
cd "$(dirname "$0")/.."
python=.venv/bin/python
folder=run
keep=no
[ "${1:-}" = --keep ] && keep=yes

rm -rf "$folder"
"$python" -m examples.write_settings "$folder"
. "$folder/fleet.env"

pids=()
stop_fleet() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_fleet EXIT

start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() {
  for _ in $(seq 100); do
    "$python" - "$1" <<'PY' && return 0
import sys, urllib.request
try:
    urllib.request.urlopen(f'http://{sys.argv[1]}', timeout=1)
except urllib.error.HTTPError as error:
    sys.exit(error.code == 503)
except OSError:
    sys.exit(1)
PY
    sleep 0.1
  done
  echo "$1 is not available after 100 attempts" >&2
  return 1
}

start store "$python" -m bronzesill.standins store --address "$STORE"
start hosts "$python" -m bronzesill.standins hosts --address "$HOSTS"
start shop "$python" -m bronzesill.standins service --address "$SERVICE"
number=0
for engine in $ENGINES; do
  start "engine-$number" "$python" -m bronzesill.standins engine \
    --address "$engine" --version v1
  number=$((number + 1))
done
wait_for "$HOSTS/hosts"
"$python" -c "import sys, urllib.request as u
u.urlopen(u.Request(sys.argv[1], open(sys.argv[2], 'rb').read(), method='PUT'))" \
  "http://$HOSTS/hosts" "$folder/hosts.json"
wait_for "$STORE/standin/faults"
number=0
for entry in $ENTRIES; do
  start "daemon-$number" .venv/bin/bronzesilld \
    --settings "$folder/daemon-$number.yaml"
  number=$((number + 1))
done
for entry in $ENTRIES; do wait_for "$entry/healthz"; done

.venv/bin/bronzesill --settings "$folder/tool.yaml" config apply \
  --base "$folder/base.yaml" --overlay "kartuli=$folder/kartuli.yaml" \
  --reason 'first configuration' --wait
for entry in $ENTRIES; do wait_for "$entry/readyz"; done

first_entry=${ENTRIES%% *}
if [ "$keep" = yes ]; then
  echo "entries:  $ENTRIES"
  echo "engines:  $ENGINES"
  echo "store:    $STORE   hosts: $HOSTS   shop: $SERVICE"
  echo "key:      $CALLER_KEY   tool: .venv/bin/bronzesill --settings $folder/tool.yaml"
  echo "logs:     $folder/*.log"
fi
status=0
"$python" -m examples.long_answer --entry "$first_entry" \
  --key "$CALLER_KEY" --engines $ENGINES || status=$?
"$python" -m examples.hosted_answer || status=$?
if [ "$keep" = yes ]; then
  echo 'the fleet keeps running; press Ctrl-C to stop it'
  wait
fi
exit "$status"
