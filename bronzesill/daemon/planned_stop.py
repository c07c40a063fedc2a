"""The end of a host after a signal for a planned stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from ..gateway import GatewayState
from ..utils import PartLogger

__all__ = ['PlannedStop']

#: Time before the end of the grace period at which requests have ended.
_STOP_MARGIN_S = 0.6
_POLL_S = 0.05
_LINGER_S = 4.0
#: Time before the earliest exit in which callers are told to use another
#: connection.
_ANNOUNCED_S = 1.0
#: Time after the last answer for its bytes, well within the margin.
_FLUSH_S = 0.1

_log = PartLogger('daemon')


class DrainedServer(Protocol):
    """Serves requests of callers."""

    @property
    def running(self) -> int:
        """Number of requests whose response is not complete."""

    def announce_close(self) -> None:
        """Close each connection after its next answer, and say so in it."""


class PlannedStop:
    """
    Steps of a planned stop, which share one budget from the signal on.

    Creating it requires a running event loop.

    :param state: state that requests read.
    :param grace_s: grace period in seconds.
    """

    def __init__(self, state: GatewayState, grace_s: float) -> None:
        self._state = state
        self._grace_s = grace_s - _STOP_MARGIN_S
        self._requested = asyncio.Event()
        self._began_at_s: float | None = None

    @property
    def is_requested(self) -> bool:
        """Whether the stop has begun."""
        return self._requested.is_set()

    @property
    def flush_s(self) -> float:
        """Longest time in seconds until all connections are closed."""
        now_s = asyncio.get_running_loop().time()
        remaining_s = (self._state.stops_at_s or now_s) - now_s
        return max(remaining_s + _FLUSH_S, 0)

    def begin(self, late_s: float = 0) -> None:
        """
        Begin the stop: no request is taken that may outlast it.

        :param late_s: time in seconds since the signal for the stop.
        """
        self._began_at_s = asyncio.get_running_loop().time() - late_s
        self._state.is_stopping = True
        self._state.stops_at_s = self._began_at_s + self._grace_s
        self._requested.set()

    async def wait(self) -> None:
        """Wait until the stop has begun."""
        await self._requested.wait()

    async def drain(
        self,
        remove_entry: Callable[[], Coroutine[Any, Any, None]],
        server: DrainedServer,
    ) -> None:
        """
        Wait until no request is running, or until the requests must end.

        It takes at least ``_LINGER_S`` seconds, as callers may still know the
        address of this host.

        :param remove_entry: removes the host from the store; requests do not
            wait for it, as the store may be silent.
        :param server: serves the requests.
        """
        removal = asyncio.create_task(self._remove(remove_entry))
        try:
            await self._end_requests(server)
        finally:
            removal.cancel()

    async def run_step(self, step: str, work: Awaitable[object]) -> None:
        """
        Run a step of the end for as long as the budget allows.

        :param step: name of the step for the log.
        :param work: the step, which is cancelled if it takes longer.
        """
        task = asyncio.ensure_future(work)
        _, late = await asyncio.wait((task,), timeout=self.flush_s)
        for unfinished in late:
            unfinished.cancel()
        self.log_step(step, is_complete=not late)

    def log_step(self, step: str, **fields: object) -> None:
        """
        Log a step and the seconds since the signal.

        :param step: name of the step.
        :param fields: further fields of the line.
        """
        if self._began_at_s is None:
            return
        after_s = asyncio.get_running_loop().time() - self._began_at_s
        _log.event('stop_step', step=step, after_s=round(after_s, 3), **fields)

    async def _remove(
        self, remove_entry: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        await remove_entry()
        self.log_step('entry_removed')

    async def _end_requests(self, server: DrainedServer) -> None:
        loop = asyncio.get_running_loop()
        stops_at_s = self._state.stops_at_s or loop.time()
        linger_until_s = min(loop.time() + _LINGER_S, stops_at_s)
        while loop.time() < stops_at_s:
            self._state.open_requests.end_before(stops_at_s, loop.time())
            if loop.time() >= linger_until_s - _ANNOUNCED_S:
                server.announce_close()
            if not server.running and loop.time() >= linger_until_s:
                break
            await asyncio.sleep(_POLL_S)
