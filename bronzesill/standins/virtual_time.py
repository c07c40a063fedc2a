"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ['run_in_virtual_time']

_Outcome = TypeVar('_Outcome')


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances a clock by the time it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return what is ready."""
        if timeout is None:
            raise RuntimeError('all tasks wait, and no timer is set')
        self.now_s += max(timeout, 0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds; it starts at 0."""
        return self._jumping_selector.now_s


def run_in_virtual_time(
    coroutine: Coroutine[Any, Any, _Outcome],
) -> _Outcome:
    """
    Run a coroutine without real waiting and return its result.

    The coroutine must not use sockets: they are only polled, never waited for.

    :param coroutine: the coroutine to run to its end.
    """
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coroutine)
