"""Calls that may be repeated: retried elsewhere, hedged when late."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from ..limits import OwnAllowance, RetryAllowance
from ..utils import BronzesillError, ResultCode
from .hedging import LatencyEstimate
from .interfaces import CallSender, RoutedCall
from .pass_through import CallAnswer
from .servers import ServiceServers

__all__ = ['IdempotentCalls']

SendOutcome: TypeAlias = CallAnswer | BronzesillError

_SERVER_ERROR = 500


class IdempotentCalls:
    """
    Sends calls that may be repeated.

    :param sender: sends a call to one server.
    :param servers: order of servers for a call.
    :param allowance: bounds the calls that are sent again.
    """

    def __init__(
        self,
        sender: CallSender,
        servers: ServiceServers,
        allowance: RetryAllowance | None = None,
    ) -> None:
        self.repeats = 0
        self._sender = sender
        self._servers = servers
        self._allowance = allowance or OwnAllowance()
        self._latency_by_route: dict[str, LatencyEstimate] = {}

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call until one server answers well or the deadline passes.

        :returns: the answer, a failure only if every server failed.
        :raises BronzesillError: no server answered in time.
        """
        self._allowance.note_first(routed.route.service)
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                return await self._race(routed, self._servers.order(routed))
        except TimeoutError:
            raise BronzesillError(
                ResultCode.CALL_TIMED_OUT, 'no server answered in time'
            ) from None

    async def _race(
        self, routed: RoutedCall, names: tuple[str, ...]
    ) -> CallAnswer:
        remaining = list(names[: routed.route.max_attempts])
        running = {self._start(routed, remaining.pop(0))}
        outcome: SendOutcome = _no_answer()
        try:
            while running and not _is_good(outcome):
                done, running = await asyncio.wait(
                    running,
                    timeout=self._patience_s(routed, remaining),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                outcome = _best_outcome(done, outcome)
                if not _is_good(outcome):
                    running |= self._repeat(routed, remaining)
        finally:
            _cancel(running)
        if isinstance(outcome, CallAnswer):
            return outcome
        raise outcome

    def _repeat(
        self, routed: RoutedCall, remaining: list[str]
    ) -> set[asyncio.Task[SendOutcome]]:
        if remaining and self._allowance.take(routed.route.service):
            self.repeats += 1
            return {self._start(routed, remaining.pop(0))}
        return set()

    def _start(
        self, routed: RoutedCall, name: str
    ) -> asyncio.Task[SendOutcome]:
        return asyncio.create_task(self._send(routed, name))

    async def _send(self, routed: RoutedCall, name: str) -> SendOutcome:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._servers.opened(name)
        outcome: SendOutcome | None = None
        try:
            outcome = await self._sender.send(name, routed)
        except BronzesillError as error:
            outcome = error
        finally:
            self._servers.closed(name, routed, outcome, started_s)
        if _is_good(outcome):
            self._note(routed, loop.time() - started_s)
        return outcome

    def _note(self, routed: RoutedCall, latency_s: float) -> None:
        estimate = self._latency_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        self._latency_by_route[routed.route_name] = estimate.after(latency_s)

    def _patience_s(
        self, routed: RoutedCall, remaining: list[str]
    ) -> float | None:
        if not remaining:
            return None
        estimate = self._latency_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        return estimate.late_s


def _best_outcome(
    done: set[asyncio.Task[SendOutcome]], before: SendOutcome
) -> SendOutcome:
    outcomes = [before, *(task.result() for task in done)]
    return max(outcomes, key=_worth)


def _cancel(running: set[asyncio.Task[SendOutcome]]) -> None:
    for task in running:
        task.cancel()


def _worth(outcome: SendOutcome) -> int:
    return int(isinstance(outcome, CallAnswer)) + int(_is_good(outcome))


def _is_good(outcome: SendOutcome) -> bool:
    return isinstance(outcome, CallAnswer) and outcome.status < _SERVER_ERROR


def _no_answer() -> BronzesillError:
    return BronzesillError(ResultCode.CALL_FAILED, 'no server answered')
