"""Runs the background tasks of a daemon while it serves."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from ..utils import PartLogger

__all__ = ['run_tasks']

_log = PartLogger('daemon')


@asynccontextmanager
async def run_tasks(
    coroutines: list[Coroutine[Any, Any, None]],
    on_failure: Callable[[], object],
) -> AsyncIterator[None]:
    """
    Run coroutines as tasks and cancel them at the end of the block.

    :param coroutines: coroutines that run until cancelled.
    :param on_failure: called if one of them ends without being cancelled, as
        the daemon cannot serve without it.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    for task in tasks:
        task.add_done_callback(functools.partial(_handle_task_end, on_failure))
    try:
        yield
    finally:
        for running in tasks:
            running.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _handle_task_end(
    on_failure: Callable[[], object], task: asyncio.Task[None]
) -> None:
    if not task.cancelled():
        _log.error('background task ended unexpectedly: %r', task.exception())
        on_failure()
