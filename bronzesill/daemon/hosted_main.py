"""
Entry point of the daemon program ``bronzesilld-hosted``.

It listens before it loads the rest of the program, so that callers of a host
that starts again wait for a short time instead of being refused.
"""

import functools
import importlib
import os
import signal
import sys
import time
from pathlib import Path
from typing import NoReturn

from ..platform.listen_addresses import (
    HTTP_ADDRESS_COUNT,
    SETTINGS_VARIABLE,
    read_listen_addresses,
)
from .early_sockets import EarlySockets

__all__ = ['main']

_PROGRAM = 'bronzesill.daemon.hosted_program'
#: Callers leave a connection that nobody reads for a second, so a host that
#: takes longer than this to load would only delay them.
_EARLY_LIMIT_S = 2.0
#: Longest time for the refusals of a process that is stopped as it loads.
_REFUSAL_LIMIT_S = 0.3
_EXIT_STOPPED = 0


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    started_s = time.monotonic()
    # The settings are read once the program is loaded, so there is nothing to
    # reload; without a handler the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    addresses = read_listen_addresses(path)
    listeners = EarlySockets()
    http_addresses = addresses[:HTTP_ADDRESS_COUNT]
    # The program replaces this handler as soon as it can refuse by itself.
    signal.signal(
        signal.SIGTERM, functools.partial(_stop, listeners, http_addresses)
    )
    listeners.open(addresses)
    listeners.close_after(_EARLY_LIMIT_S)
    # Imported only now: the program takes many times as long to load.
    program = importlib.import_module(_PROGRAM)
    status: int = program.run_program(path, listeners, started_s)
    return status


def _stop(
    listeners: EarlySockets,
    http_addresses: tuple[tuple[str, int], ...],
    number: int,
    frame: object,
) -> NoReturn:
    """
    Refuse what waits and exit, as nothing else is open yet.

    :param listeners: sockets that listen while the program loads.
    :param http_addresses: addresses of those that serve HTTP.
    :param number: number of the signal.
    :param frame: the load, which is cut.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    try:
        listeners.refuse_waiting(http_addresses, _REFUSAL_LIMIT_S)
    finally:
        os._exit(_EXIT_STOPPED)


if __name__ == '__main__':
    sys.exit(main())
