#!/usr/bin/env bash
# Create the virtual environment, or update it if requirements.txt changed.
set -euo pipefail
cd "$(dirname "$0")/.."
installed_requirements=.venv/.installed
if [ -e "$installed_requirements" ] && cmp -s requirements.txt "$installed_requirements"; then exit 0; fi
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo 'Python 3.11 or later is required' >&2; exit 2; }
python3 -m venv .venv
.venv/bin/python -m pip install --quiet --disable-pip-version-check \
  -r requirements.txt
.venv/bin/python -m pip install --quiet --disable-pip-version-check \
  --no-deps -e .
cp requirements.txt "$installed_requirements"
