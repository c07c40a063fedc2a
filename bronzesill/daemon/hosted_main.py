"""The daemon program ``bronzesilld-hosted`` for a hosting platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from ..platform import SETTINGS_VARIABLE, read_settings
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    PartLogger,
    configure_logging,
    filter_server_logs,
)
from .hosted import HostedDaemon

__all__ = ['main']

_EXIT_BAD_SETTINGS = 2

_log = PartLogger('daemon')


async def _serve(path: Path) -> None:
    daemon = HostedDaemon(read_settings(path))
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


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    configure_logging('info', is_json=True)
    filter_server_logs(BronzesillError)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        asyncio.run(_serve(path))
    except DocumentInvalid as error:
        for fault in error.faults:
            _log.error('%s: %s', path, fault)
        return _EXIT_BAD_SETTINGS
    except OSError as error:
        _log.error('%s: %s', path, error)
        return _EXIT_BAD_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
