"""Timeout of a connection on which no request is read or answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ['IdleTimeout']

#: Timers may end earlier by the resolution of the clock or a rounding error.
_TIMER_ERROR_S = 0.001


class IdleTimeout:
    """
    Timeout of an idle connection.

    A limit that is raised while the connection is idle holds for it too.

    :param get_limit_s: returns the current limit in seconds.
    :param on_timeout: called when the connection has been idle for the limit.
    """

    def __init__(
        self,
        get_limit_s: Callable[[], float],
        on_timeout: Callable[[], object],
    ) -> None:
        self._get_limit_s = get_limit_s
        self._on_timeout = on_timeout
        self._began_at_s: float = 0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Begin a new idle time."""
        self.end()
        self._began_at_s = asyncio.get_running_loop().time()
        self._wait(self._get_limit_s())

    def extend(self) -> None:
        """Begin the idle time again if the connection is idle."""
        if self._timer is not None:
            self.begin()

    def end(self) -> None:
        """End the idle time; it has no effect if the connection is not idle."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        idle_s = asyncio.get_running_loop().time() - self._began_at_s
        remaining_s = self._get_limit_s() - idle_s
        if remaining_s > _TIMER_ERROR_S:
            self._wait(remaining_s)
        else:
            self._on_timeout()
