#!/usr/bin/env bash
# Build the stand-ins that the scripts start: they are Python modules of
# review/lib without dependencies, so this checks that each one compiles.
# The scripts start no stand-in of the project itself.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in sorted(Path('.').glob('*/*.py')):
    compile(path.read_text(), str(path), 'exec')
    print(f'{path} compiles')
END
