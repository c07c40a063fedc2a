"""
Entry point of the daemon program ``bronzesilld-hosted``.

It listens before it loads the rest of the program, so that callers of a host
that starts again wait for a short time instead of being refused.
"""

import importlib
import os
import signal
import sys
import time
from pathlib import Path

from ..platform.listen_addresses import (
    SETTINGS_VARIABLE,
    read_listen_addresses,
)
from .early_sockets import EarlySockets

__all__ = ['main']

_PROGRAM = 'bronzesill.daemon.hosted_program'
#: Callers leave a connection that nobody reads for a second, so a host that
#: takes longer than this to load would only delay them.
_EARLY_LIMIT_S = 2.0


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    started_s = time.monotonic()
    # The settings are read once the program is loaded, so there is nothing to
    # reload; without a handler the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    listeners = EarlySockets()
    listeners.open(read_listen_addresses(path))
    listeners.close_after(_EARLY_LIMIT_S)
    # Imported only now: the program takes many times as long to load.
    program = importlib.import_module(_PROGRAM)
    status: int = program.run_program(path, listeners, started_s)
    return status


if __name__ == '__main__':
    sys.exit(main())
