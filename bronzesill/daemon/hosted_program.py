"""The daemon program on a hosting platform, once its sockets listen."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from ..platform.settings import read_settings
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    PartLogger,
    configure_logging,
    filter_server_logs,
)
from .early_sockets import EarlySockets
from .hosted import HostedDaemon

__all__ = ['run_program']

_EXIT_BAD_SETTINGS = 2

_log = PartLogger('daemon')


async def _serve(path: Path, listeners: EarlySockets, started_s: float) -> None:
    daemon = HostedDaemon(read_settings(path), listeners, started_s)
    _log.event(
        'program_loaded', loaded_s=round(time.monotonic() - started_s, 3)
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.begin_stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    await daemon.run()


def _reload(path: Path) -> None:
    try:
        settings = read_settings(path)
    except (DocumentInvalid, OSError) as error:
        _log.error('changed settings cannot be used: %s', error)
        return
    _log.info('settings of %s reloaded', settings.name)


def run_program(path: Path, listeners: EarlySockets, started_s: float) -> int:
    """
    Run the daemon until a signal stops it; return the exit status.

    :param path: path of the settings file.
    :param listeners: sockets that listen already.
    :param started_s: monotonic time in seconds at which the process started.
    """
    configure_logging('info', is_json=True)
    filter_server_logs(BronzesillError)
    try:
        asyncio.run(_serve(path, listeners, started_s))
    except DocumentInvalid as error:
        for fault in error.faults:
            _log.error('%s: %s', path, fault)
        return _EXIT_BAD_SETTINGS
    except OSError as error:
        _log.error('%s: %s', path, error)
        return _EXIT_BAD_SETTINGS
    return 0
