#!/usr/bin/env bash
# Run all checks and unit tests; the last line counts what passed and failed.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
passed=0
failed=0

check() {
  local name=$1
  shift
  if output=$("$@" 2>&1); then
    echo "ok      $name"
    grep -E ': (no error|mistake)' <<<"$output" | sed 's/^/          /'
    passed=$((passed + 1))
  else
    echo "FAILED  $name"
    echo "$output" | tail -60
    failed=$((failed + 1))
  fi
}

check 'format' "$bin/ruff" format --check bronzesill benchmarks examples scripts
check 'ruff' "$bin/ruff" check bronzesill benchmarks examples scripts
check 'wemake style' "$bin/flake8" bronzesill benchmarks examples
check 'types' "$bin/mypy"
check 'import contracts' "$bin/lint-imports"
check 'docs' "$bin/sphinx-build" -q -W -b html docs docs/_build
check 'model of calls' bash scripts/model_check.sh calls NO_FENCING \
  CLAIM_AFTER_SEND RETRY_ON_LOST NOT_RUN_ON_TAKEOVER RELEASE_ANY
check 'model of configuration' bash scripts/model_check.sh configuration \
  OLDER_ACCEPTED NO_COMPARE
check 'model of moves' bash scripts/model_check.sh moves NO_COMPARE \
  COMMIT_LATE WORD_FORGOTTEN

check 'model of evidence' bash scripts/model_check.sh evidence WANT_IS_PROOF \
  COUNTED_TWICE TOLD_UNREAD NO_COMPARE

check 'model of eras' bash scripts/model_check.sh eras NO_GUARD MARK_LATE \
  NUMBER_ONLY

counts=$(mktemp)
"$bin/python" -m scripts.run_tests --counts "$counts"
read -r test_passed test_failed <"$counts" || { test_passed=0; test_failed=1; }
rm -f "$counts"
passed=$((passed + test_passed))
failed=$((failed + test_failed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$test_passed" -gt 0 ]
