"""The daemon program on a hosting platform, once its sockets listen."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

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

_EXIT_STOPPED = 0
_EXIT_BAD_SETTINGS = 2
#: Time before the end of the grace period at which a stopping process ends,
#: whatever it is doing.
_EXIT_MARGIN_S = 0.5

_log = PartLogger('daemon')


class _ExitDeadline:
    """
    Ends the process in time, also if its event loop is late or blocked.

    :param grace_s: grace period in seconds, from the signal for a stop on.
    """

    def __init__(self, grace_s: float) -> None:
        self._remaining_s = max(grace_s - _EXIT_MARGIN_S, 0)

    def start(self, late_s: float) -> None:
        """
        Start to count; to be called as soon as the stop begins.

        :param late_s: time in seconds since the signal for the stop.
        """
        # The event loop may be blocked, so that the time is kept beside it.
        remaining_s = max(self._remaining_s - late_s, 0)
        timer = threading.Timer(remaining_s, self._end)
        timer.daemon = True
        timer.start()

    def _end(self) -> None:
        _log.event('exit_forced', after_s=self._remaining_s)
        _end_process(_EXIT_STOPPED)


class _StopSignal:
    """
    Calls a function at SIGTERM, with the time in seconds since the signal.

    The loop calls its own handlers only after the callbacks that are due, and
    the grace period runs meanwhile.

    :param loop: running event loop.
    :param begin_stop: function to call in the loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        begin_stop: Callable[[float], object],
    ) -> None:
        self._loop = loop
        self._begin_stop = begin_stop

    def watch(self) -> None:
        """Handle the signal from now on."""
        signal.signal(signal.SIGTERM, self._note)

    def _note(self, number: int, frame: object) -> None:
        self._loop.call_soon_threadsafe(self._begin, time.monotonic())

    def _begin(self, signal_at_s: float) -> None:
        self._begin_stop(time.monotonic() - signal_at_s)


async def _serve(path: Path, listeners: EarlySockets, started_s: float) -> None:
    settings = read_settings(path)
    loop = asyncio.get_running_loop()
    # The loop begins the stop only once this function waits, so a signal
    # during the construction of the daemon is kept for it.
    _StopSignal(loop, lambda late_s: daemon.begin_stop(late_s)).watch()
    daemon = HostedDaemon(settings, listeners, started_s)
    daemon.on_stop = _ExitDeadline(settings.bounds.grace_s).start
    _log.event(
        'program_loaded', loaded_s=round(time.monotonic() - started_s, 3)
    )
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    await daemon.run()
    _end_process(_EXIT_STOPPED)


def _end_process(status: int) -> NoReturn:
    """
    End the process at once; the system closes what it has open.

    The interpreter's own end would free every object first, which takes
    seconds on a busy machine.

    :param status: exit status of the process.
    """
    try:
        sys.stdout.flush()
        sys.stderr.flush()
    finally:
        # Output that cannot be written does not keep the process.
        os._exit(status)


def _reload(path: Path) -> None:
    try:
        settings = read_settings(path)
    except (DocumentInvalid, OSError) as error:
        _log.error('changed settings cannot be used: %s', error)
        return
    _log.info('settings of %s reloaded', settings.name)


def run_program(path: Path, listeners: EarlySockets, started_s: float) -> int:
    """
    Run the daemon until a signal ends the process.

    :param path: path of the settings file.
    :param listeners: sockets that listen already.
    :param started_s: monotonic time in seconds at which the process started.
    :returns: the exit status if the daemon cannot be started.
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
    return _EXIT_STOPPED
