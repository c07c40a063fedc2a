"""Idempotent calls: retried on other servers and hedged when slow."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TypeAlias

from ..limits import LocalRetryAllowance, RetryAllowance
from ..utils import BronzesillError, ResultCode
from .durations import LatencyEstimate
from .interfaces import CallAnswer, CallSender, RoutedCall, SendProgress
from .servers import (
    RETRY_AFTER_S,
    ServiceServers,
    is_disconnected,
    is_unsent,
)

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
        :raises BronzesillError: no server answered before the deadline;
            ``CALL_NOT_RUN`` if none has run the call.
        """
        self._allowance.record_first_attempt(routed.route.service)
        plan = _AttemptPlan(routed.route.max_attempts)
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                await self._servers.prepare(routed)
                plan.servers.extend(self._servers.order(routed))
                return await self._run_attempts(routed, plan)
        except TimeoutError:
            raise _late_error(plan) from None

    async def _run_attempts(
        self, routed: RoutedCall, plan: _AttemptPlan
    ) -> CallAnswer:
        may_give_up = functools.partial(
            self._reserve_retry, routed.route.service, plan
        )
        routed = dataclasses.replace(routed, may_give_up=may_give_up)
        losses = 0
        running = {self._start_attempt(routed, plan)}
        outcome: SendOutcome = _no_answer_error()
        try:
            while running:
                done, running = await asyncio.wait(
                    running,
                    timeout=self._hedge_delay_s(routed, plan),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                plan.record(done)
                outcome = _best_outcome(done, outcome)
                losses += sum(is_disconnected(task.result()) for task in done)
                if _is_success(outcome):
                    break
                if not self._servers.may_retry(routed, losses):
                    plan.servers.clear()
                running |= self._start_retry(routed, plan)
        finally:
            _cancel_attempts(running)
        if isinstance(outcome, CallAnswer):
            return outcome
        raise plan.not_run_error or outcome

    def _start_retry(
        self, routed: RoutedCall, plan: _AttemptPlan
    ) -> set[asyncio.Task[SendOutcome]]:
        if not self._reserve_retry(routed.route.service, plan):
            return set()
        plan.reserved -= 1
        return {self._start_attempt(routed, plan)}

    def _reserve_retry(self, service: str, plan: _AttemptPlan) -> bool:
        """Return whether another attempt will be made; it is paid for."""
        if not plan.may_send:
            return False
        if plan.reserved:
            return True
        if not self._allowance.try_consume_retry(service):
            return False
        plan.reserved += 1
        self.extra_attempts += 1
        return True

    def _start_attempt(
        self, routed: RoutedCall, plan: _AttemptPlan
    ) -> asyncio.Task[SendOutcome]:
        progress = SendProgress()
        attempt = dataclasses.replace(routed, progress=progress)
        task = asyncio.create_task(self._send(attempt, plan.take()))
        plan.progress_by_task[task] = progress
        return task

    async def _send(self, routed: RoutedCall, server: str) -> SendOutcome:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        expected_ratio = self._servers.expected_ratio(server)
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
            latency_s = loop.time() - started_s
            self._record_latency(routed, latency_s / expected_ratio)
        return outcome

    def _record_latency(self, routed: RoutedCall, latency_s: float) -> None:
        """Record a latency, as it would be on a server of typical speed."""
        estimate = self._estimates_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        self._estimates_by_route[routed.route_name] = estimate.updated(
            latency_s
        )

    def _hedge_delay_s(
        self, routed: RoutedCall, plan: _AttemptPlan
    ) -> float | None:
        if not plan.may_send:
            return None
        estimate = self._estimates_by_route.get(
            routed.route_name, LatencyEstimate()
        )
        ratio = self._servers.expected_ratio(plan.last_server)
        return estimate.expected_quantile_s(ratio)


class _AttemptPlan:
    """
    Servers to which one call may still be sent.

    An attempt of which nothing was sent uses up neither an attempt nor the
    retry budget.

    :param max_attempts: number of servers to which the call may be sent.
    """

    def __init__(self, max_attempts: int) -> None:
        #: Names of the servers, the next one first.
        self.servers: list[str] = []
        #: Name of the server that was taken last, empty before the first.
        self.last_server = ''
        #: Progress of the attempts whose outcome is not recorded.
        self.progress_by_task: dict[
            asyncio.Task[SendOutcome], SendProgress
        ] = {}
        #: Attempts whose share of the retry budget is consumed, not used.
        self.reserved = 0
        #: Error of an attempt if no server has run any, else none.
        self.not_run_error: BronzesillError | None = None
        self._left = max_attempts
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the call."""
        return self._may_have_run or any(
            progress.may_have_run for progress in self.progress_by_task.values()
        )

    @property
    def may_send(self) -> bool:
        """Whether the call may be sent to another server."""
        return bool(self.servers) and self._left > 0

    def take(self) -> str:
        """Return the next server, and count an attempt."""
        self._left -= 1
        self.last_server = self.servers.pop(0)
        return self.last_server

    def record(self, done: set[asyncio.Task[SendOutcome]]) -> None:
        """Record the outcomes of attempts that have ended."""
        for task in done:
            self.progress_by_task.pop(task)
            outcome = task.result()
            if is_unsent(outcome):
                self._left += 1
                self.reserved += 1
            if not _is_not_run(outcome):
                self._may_have_run = True
            self._keep_error(outcome)

    def _keep_error(self, outcome: SendOutcome) -> None:
        if self._may_have_run:
            self.not_run_error = None
        elif isinstance(outcome, BronzesillError):
            self.not_run_error = BronzesillError(
                outcome.code,
                outcome.message,
                retry_after_s=outcome.retry_after_s or RETRY_AFTER_S,
            )


def _late_error(plan: _AttemptPlan) -> BronzesillError:
    if plan.may_have_run:
        return BronzesillError(
            ResultCode.CALL_TIMED_OUT,
            'no server answered before the deadline',
        )
    return BronzesillError(
        ResultCode.CALL_NOT_RUN,
        'not run: nothing sent before the deadline',
        retry_after_s=RETRY_AFTER_S,
    )


def _is_not_run(outcome: SendOutcome) -> bool:
    if not isinstance(outcome, BronzesillError):
        return False
    return outcome.code is ResultCode.CALL_NOT_RUN


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
