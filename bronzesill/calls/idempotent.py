"""Calls that may be repeated: retried elsewhere, hedged when late."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

import aiohttp

from ..limits import RetryBudget
from ..utils import BronzesillError, ResultCode
from .hedging import LatencyEstimate
from .interfaces import RoutedCall
from .pass_through import CallAnswer, send_call
from .servers import ServiceServers

__all__ = ['IdempotentCalls']

SendOutcome: TypeAlias = CallAnswer | BronzesillError

_RETRIED_STATUSES = frozenset((502, 503, 504))


class IdempotentCalls:
    """
    Sends calls that may be repeated.

    :param session: HTTP session that keeps no connections alive.
    :param servers: order of servers for a call.
    """

    def __init__(
        self, session: aiohttp.ClientSession, servers: ServiceServers
    ) -> None:
        self.repeats = 0
        self._session = session
        self._servers = servers
        self._budget = RetryBudget()
        self._latency_by_route: dict[str, LatencyEstimate] = {}

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call until one server answers or the deadline passes.

        :raises BronzesillError: no server answered in time.
        """
        self._budget = self._budget.after_try()
        try:
            async with asyncio.timeout(routed.route.deadline_s):
                return await self._race(routed, self._servers.order(routed))
        except TimeoutError:
            raise BronzesillError(
                ResultCode.CALL_FAILED, 'no server answered in time'
            ) from None

    async def _race(
        self, routed: RoutedCall, names: tuple[str, ...]
    ) -> CallAnswer:
        remaining = list(names)
        running = {self._start(routed, remaining.pop(0))}
        failure = _no_answer()
        try:
            while running:
                done, running = await asyncio.wait(
                    running,
                    timeout=self._patience_s(routed, remaining),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                outcome = _best_outcome(done, failure)
                if isinstance(outcome, CallAnswer):
                    return outcome
                failure = outcome
                if remaining and self._may_repeat():
                    running.add(self._start(routed, remaining.pop(0)))
        finally:
            for task in running:
                task.cancel()
        raise failure

    def _start(
        self, routed: RoutedCall, name: str
    ) -> asyncio.Task[SendOutcome]:
        return asyncio.create_task(self._send(routed, name))

    async def _send(self, routed: RoutedCall, name: str) -> SendOutcome:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._servers.opened(name)
        is_failed = False
        try:
            answer = await send_call(
                self._session,
                self._servers.address(name),
                routed.call,
                routed.route.deadline_s,
            )
        except BronzesillError as error:
            is_failed = True
            return error
        finally:
            latency_s = loop.time() - started_s
            self._servers.closed(
                name, routed, is_failed=is_failed, latency_s=latency_s
            )
        self._note(routed, latency_s)
        if answer.status in _RETRIED_STATUSES:
            return BronzesillError(
                ResultCode.CALL_FAILED, f'the service says {answer.status}'
            )
        return answer

    def _note(self, routed: RoutedCall, latency_s: float) -> None:
        estimate = self._latency_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        self._latency_by_route[routed.route_name] = estimate.after(latency_s)

    def _patience_s(
        self, routed: RoutedCall, remaining: list[str]
    ) -> float | None:
        if not remaining or not self._budget.allows_retry:
            return None
        estimate = self._latency_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        return estimate.late_s

    def _may_repeat(self) -> bool:
        if not self._budget.allows_retry:
            return False
        self._budget = self._budget.after_retry()
        self.repeats += 1
        return True


def _best_outcome(
    done: set[asyncio.Task[SendOutcome]], before: BronzesillError
) -> SendOutcome:
    last = before
    for task in done:
        outcome = task.result()
        if isinstance(outcome, CallAnswer):
            return outcome
        last = outcome
    return last


def _no_answer() -> BronzesillError:
    return BronzesillError(ResultCode.CALL_FAILED, 'no server answered')
