"""Runs the tasks of a daemon as long as it serves."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from ..utils import PartLogger

__all__ = ['run_parts']

_log = PartLogger('daemon')


@asynccontextmanager
async def run_parts(
    parts: list[Coroutine[Any, Any, None]], on_failure: Callable[[], object]
) -> AsyncIterator[None]:
    """
    Run parts until the block ends, and cancel them then.

    :param parts: parts that never end by themselves.
    :param on_failure: called if one does: without it the host is of no use.
    """
    tasks = [asyncio.create_task(part) for part in parts]

    for task in tasks:
        task.add_done_callback(functools.partial(_notice_end, on_failure))
    try:
        yield
    finally:
        for running in tasks:
            running.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _notice_end(
    on_failure: Callable[[], object], task: asyncio.Task[None]
) -> None:
    if not task.cancelled():
        _log.error('a part failed: %r', task.exception())
        on_failure()
