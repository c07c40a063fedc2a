"""The daemon program ``bronzesilld``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from .. import __version__
from ..config.settings import DaemonSettings
from ..utils import DocumentInvalid, configure_logging
from .core import Daemon

__all__ = ['main']

_EXIT_BAD_SETTINGS = 2


def _parse_args(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='bronzesilld',
        description='Serve callers on this host.',
        epilog='Exit status: 0 stopped as asked, 2 settings not usable.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings', type=Path, required=True, help='YAML file of this host'
    )
    return parser.parse_args(arguments)


async def _serve(settings: DaemonSettings) -> None:
    daemon = Daemon.from_settings(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.begin_stop)
    await daemon.run()


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    options = _parse_args(sys.argv[1:])
    try:
        settings = DaemonSettings.from_file(options.settings)
    except DocumentInvalid as error:
        for fault in error.faults:
            sys.stderr.write(f'{options.settings}: {fault}\n')
        return _EXIT_BAD_SETTINGS
    except OSError as error:
        sys.stderr.write(f'{options.settings}: {error.strerror}\n')
        return _EXIT_BAD_SETTINGS
    configure_logging(settings.log_level)
    uvloop.run(_serve(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
