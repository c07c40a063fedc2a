"""Idempotent calls: retried on other servers and hedged when slow."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from ..limits import LocalRetryAllowance, RetryAllowance
from ..utils import BronzesillError, ResultCode
from .hedging import LatencyEstimate
from .interfaces import CallAnswer, CallSender, RoutedCall
from .servers import ServiceServers, is_disconnected

__all__ = ['IdempotentCalls']

SendOutcome: TypeAlias = CallAnswer | BronzesillError

_SERVER_ERROR = 500


class IdempotentCalls:
    """
    Sends idempotent calls, with retries and hedged requests.

    :param sender: sends a call to one server.
    :param servers: selects and orders the servers for a call.
    :param allowance: limits retries and hedged requests; by default a share
        of this daemon's own calls.
    """

    def __init__(
        self,
        sender: CallSender,
        servers: ServiceServers,
        allowance: RetryAllowance | None = None,
    ) -> None:
        self.extra_attempts = 0
        self._sender = sender
        self._servers = servers
        self._allowance = allowance or LocalRetryAllowance()
        self._estimates_by_route: dict[str, LatencyEstimate] = {}

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call until one server succeeds or the deadline passes.

        :returns: the first successful response; an error response only if no
            attempt succeeded.
        :raises BronzesillError: no server answered before the deadline.
        """
        self._allowance.record_first_attempt(routed.route.service)
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                await self._servers.prepare(routed)
                return await self._run_attempts(
                    routed, self._servers.order(routed)
                )
        except TimeoutError:
            raise BronzesillError(
                ResultCode.CALL_TIMED_OUT,
                'no server answered before the deadline',
            ) from None

    async def _run_attempts(
        self, routed: RoutedCall, server_names: tuple[str, ...]
    ) -> CallAnswer:
        remaining = list(server_names[: routed.route.max_attempts])
        losses = 0
        running = {self._start_attempt(routed, remaining.pop(0))}
        outcome: SendOutcome = _no_answer_error()
        try:
            while running:
                done, running = await asyncio.wait(
                    running,
                    timeout=self._hedge_delay_s(routed, remaining),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                outcome = _best_outcome(done, outcome)
                losses += sum(is_disconnected(task.result()) for task in done)
                if _is_success(outcome):
                    break
                if not self._servers.may_retry(routed, losses):
                    remaining.clear()
                running |= self._start_retry(routed, remaining)
        finally:
            _cancel_attempts(running)
        if isinstance(outcome, CallAnswer):
            return outcome
        raise outcome

    def _start_retry(
        self, routed: RoutedCall, remaining: list[str]
    ) -> set[asyncio.Task[SendOutcome]]:
        if remaining and self._allowance.try_consume_retry(
            routed.route.service
        ):
            self.extra_attempts += 1
            return {self._start_attempt(routed, remaining.pop(0))}
        return set()

    def _start_attempt(
        self, routed: RoutedCall, server: str
    ) -> asyncio.Task[SendOutcome]:
        return asyncio.create_task(self._send(routed, server))

    async def _send(self, routed: RoutedCall, server: str) -> SendOutcome:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            self._servers.call_started(server)
        except BronzesillError as error:
            return error
        outcome: SendOutcome | None = None
        try:
            outcome = await self._sender.send(server, routed)
        except BronzesillError as error:
            outcome = error
        finally:
            self._servers.call_ended(server, routed, outcome, started_s)
        if _is_success(outcome):
            self._record_latency(routed, loop.time() - started_s)
        return outcome

    def _record_latency(self, routed: RoutedCall, latency_s: float) -> None:
        estimate = self._estimates_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        self._estimates_by_route[routed.route_name] = estimate.updated(
            latency_s
        )

    def _hedge_delay_s(
        self, routed: RoutedCall, remaining: list[str]
    ) -> float | None:
        if not remaining:
            return None
        estimate = self._estimates_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        return estimate.quantile_s


def _best_outcome(
    done: set[asyncio.Task[SendOutcome]], previous: SendOutcome
) -> SendOutcome:
    outcomes = [previous, *(task.result() for task in done)]
    return max(outcomes, key=_rank)


def _cancel_attempts(running: set[asyncio.Task[SendOutcome]]) -> None:
    for task in running:
        task.cancel()


def _rank(outcome: SendOutcome) -> int:
    return int(isinstance(outcome, CallAnswer)) + int(_is_success(outcome))


def _is_success(outcome: SendOutcome) -> bool:
    return isinstance(outcome, CallAnswer) and outcome.status < _SERVER_ERROR


def _no_answer_error() -> BronzesillError:
    return BronzesillError(ResultCode.CALL_FAILED, 'no server answered')
