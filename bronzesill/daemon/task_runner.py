"""Runs the background tasks of a daemon while it serves."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from contextlib import asynccontextmanager
from typing import Any, TypeAlias, TypeVar

from ..utils import PartLogger

__all__ = ['BackgroundTask', 'handle_each', 'run_tasks']

T = TypeVar('T')

BackgroundTask: TypeAlias = Callable[[], Coroutine[Any, Any, None]]

_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
#: A task that ran for this long before it failed is started at once.
_STEADY_S = 10.0
_MAX_TRACE_CHARS = 2000
_MAX_SUBJECT_CHARS = 200

_log = PartLogger('daemon')


@asynccontextmanager
async def run_tasks(
    background_tasks: list[BackgroundTask], on_end: Callable[[], object]
) -> AsyncIterator[None]:
    """
    Run background tasks and cancel them at the end of the block.

    A task that fails is logged and started again after a pause.

    :param background_tasks: functions of the tasks, which run until cancelled.
    :param on_end: called if one of them returns, as the daemon cannot serve
        without it.
    """
    tasks = [
        asyncio.create_task(_run_again(background_task, on_end))
        for background_task in background_tasks
    ]
    try:
        yield
    finally:
        for running in tasks:
            running.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def handle_each(
    entries: Iterable[T],
    handle: Callable[[T], object],
    describe: Callable[[T], str],
) -> None:
    """
    Handle each of several entries that others have written.

    An entry that cannot be handled is logged and left out.

    :param entries: the entries.
    :param handle: handles one entry.
    :param describe: returns the key of an entry for the log.
    """
    for entry in entries:
        try:
            handle(entry)
        except Exception as error:
            _log_failure('entry_failed', describe(entry), error)


async def _run_again(
    background_task: BackgroundTask, on_end: Callable[[], object]
) -> None:
    loop = asyncio.get_running_loop()
    pause_s = _MIN_PAUSE_S
    while True:
        started_s = loop.time()
        try:
            await background_task()
        except Exception as error:
            name = getattr(background_task, '__qualname__', 'task')
            _log_failure('task_failed', name, error)
        else:
            _log.error('background task ended unexpectedly')
            on_end()
            return
        if loop.time() - started_s >= _STEADY_S:
            pause_s = _MIN_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, _MAX_PAUSE_S)


def _log_failure(event: str, subject: str, error: Exception) -> None:
    # The end of the traceback shows where it was raised.
    trace = ''.join(traceback.format_exception(error))
    _log.event(
        event,
        subject=subject[:_MAX_SUBJECT_CHARS],
        error=type(error).__name__,
        trace=trace[-_MAX_TRACE_CHARS:],
    )
