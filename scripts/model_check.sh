#!/usr/bin/env bash
# Verify a model of models/ with the Spin model checker, then verify that Spin
# finds an error for each seeded mistake.  Usage: model_check.sh NAME MISTAKE...
set -uo pipefail
cd "$(dirname "$0")/.."
name=$1
shift
root=$PWD
if ! command -v spin >/dev/null; then
  apt-get update -qq >/dev/null 2>&1 && apt-get install -y -qq spin >/dev/null 2>&1
fi
command -v spin >/dev/null || { echo 'spin not found; install it with: apt-get install spin'; exit 1; }
command -v cc >/dev/null || { echo 'no C compiler found: cc is needed to build the verifier'; exit 1; }

run_spin() {
  # Verifies the model in a temporary folder, with the given options of spin
  # (such as -DMISTAKE), and prints the output.
  local folder
  folder=$(mktemp -d)
  (
    cd "$folder" &&
      spin -a "$@" "$root/models/$name.pml" >/dev/null &&
      cc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c 2>/dev/null &&
      timeout 100 ./pan -m200000 -w24
  ) 2>&1
  rm -rf "$folder"
}

report=$(run_spin)
if ! grep -q 'errors: 0' <<<"$report" || grep -q 'max search depth too small' <<<"$report"; then
  echo "$name: verification of the model without seeded mistakes failed"
  echo "$report" | head -20
  exit 1
fi
echo "$name: no error in $(grep -oE '[0-9.e+]+ states, stored' <<<"$report" | head -1)"
for mistake in "$@"; do
  report=$(run_spin "-D$mistake")
  if ! grep -qE 'errors: [1-9]' <<<"$report"; then
    echo "$name: mistake $mistake was NOT found"
    exit 1
  fi
  echo "$name: mistake $mistake found at depth $(grep -oE 'at depth [0-9]+' <<<"$report" | head -1 | grep -oE '[0-9]+')"
done
