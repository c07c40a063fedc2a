"""Log lines about generations that end together with their host."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..utils import PartLogger
from .task import GenerationTask

__all__ = ['log_unfinished']

_log = PartLogger('generations')


def log_unfinished(tasks: Iterable[GenerationTask]) -> int:
    """
    Log each generation whose answer is not complete; return their number.

    :param tasks: the generations of a host that is about to exit.
    """
    unfinished = [task for task in tasks if not task.state.has_ended]
    for task in unfinished:
        _log_cut(task)
    return len(unfinished)


def _log_cut(task: GenerationTask) -> None:
    state = task.state
    now_s = asyncio.get_running_loop().time()
    _log.event(
        'stream_cut',
        request=task.request.request_id,
        phase=state.phase.value,
        server=state.server,
        at_token=state.accepted,
        silent_s=round(now_s - state.last_activity_at_s, 3),
        remaining_s=round(state.deadline_at_s - now_s, 3),
    )
