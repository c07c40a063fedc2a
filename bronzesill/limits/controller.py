"""Asyncio controller that applies admission decisions to requests."""

from __future__ import annotations

import asyncio

from ..utils import BronzesillError
from . import admission
from .admission import (
    AdmissionLimits,
    AdmissionResult,
    AdmissionState,
    Grant,
    Outcome,
    Ticket,
)

__all__ = ['AdmissionController']

_EXPIRE_INTERVAL_S = 0.1


class AdmissionController:
    """
    Admission controller of one daemon; holds its admission state.

    :param limits: initial limits.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.state = AdmissionState()
        self._waiters_by_id: dict[str, asyncio.Future[None]] = {}
        self._has_waiting = asyncio.Event()

    async def run(self) -> None:
        """Periodically refuse expired tickets; runs until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            self._apply(admission.expire(self.state, self.limits, loop.time()))

    async def acquire(self, ticket: Ticket) -> None:
        """
        Wait for a slot.

        :param ticket: ticket of the request.
        :raises BronzesillError: the request is refused.
        """
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters_by_id[ticket.request_id] = waiter
        self._apply(admission.request(self.state, self.limits, ticket))
        try:
            await waiter
        except asyncio.CancelledError:
            self._abandon(ticket, waiter)
            raise
        finally:
            self._waiters_by_id.pop(ticket.request_id, None)

    def release(self, account: str) -> None:
        """Free a slot of a client account and grant it to a queued ticket."""
        self._apply(admission.release(self.state, self.limits, account))

    def _abandon(self, ticket: Ticket, waiter: asyncio.Future[None]) -> None:
        was_granted = waiter.done() and not waiter.cancelled()
        if was_granted and waiter.exception() is None:
            self.release(ticket.account)
        else:
            self.state = admission.cancel(self.state, ticket.request_id)

    def _apply(self, result: AdmissionResult) -> None:
        self.state = result.state
        if self.state.waiting:
            self._has_waiting.set()
        else:
            self._has_waiting.clear()
        for outcome in result.outcomes:
            self._deliver(outcome)

    def _deliver(self, outcome: Outcome) -> None:
        waiter = self._waiters_by_id.get(outcome.ticket.request_id)
        is_abandoned = waiter is None or waiter.done()
        if isinstance(outcome, Grant) and is_abandoned:
            self.release(outcome.ticket.account)
        elif waiter is not None and not waiter.done():
            _resolve(waiter, outcome)


def _resolve(waiter: asyncio.Future[None], outcome: Outcome) -> None:
    if isinstance(outcome, Grant):
        waiter.set_result(None)
        return
    waiter.set_exception(
        BronzesillError(
            outcome.code,
            'not run: no slot is free for this account',
            outcome.retry_after_s,
        )
    )
