"""Admission control: slots, quotas, fair queueing and queue timeouts."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from ..utils import ResultCode

__all__ = [
    'AdmissionLimits',
    'AdmissionResult',
    'AdmissionState',
    'Grant',
    'Outcome',
    'Refuse',
    'Ticket',
    'cancel',
    'expire',
    'release',
    'request',
]


@dataclasses.dataclass(frozen=True)
class AdmissionLimits:
    """
    Admission limits of one daemon.

    :param slots: maximum number of concurrent generations.
    :param max_waiting: maximum number of requests waiting for a slot.
    :param quota_by_account: maximum number of concurrent generations of a
        client account on this daemon; accounts without an entry are limited
        by ``slots`` only.
    :param weight_by_account: weight of a client account in fair queueing,
        1 by default.
    """

    slots: int
    max_waiting: int
    quota_by_account: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    weight_by_account: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Ticket:
    """
    A request for a slot.

    :param request_id: identifier of the request.
    :param account: client account of the request.
    :param expires_at_s: time in seconds at which the ticket leaves the queue.
    :param is_resume: whether the request resumes a partial response; such a
        request is not queued and runs even if no slot is free.
    """

    request_id: str
    account: str
    expires_at_s: float
    is_resume: bool = False


@dataclasses.dataclass(frozen=True)
class Grant:
    """Decision that the request of a ticket may run."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Decision that the request of a ticket is refused."""

    ticket: Ticket
    code: ResultCode
    retry_after_s: float


Outcome: TypeAlias = Grant | Refuse


@dataclasses.dataclass(frozen=True)
class AdmissionState:
    """
    Running generations and queued tickets.

    :param running_by_account: number of running generations by client
        account, without accounts that have none.
    :param waiting: queued tickets, oldest first.
    """

    running_by_account: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    waiting: tuple[Ticket, ...] = ()

    @property
    def running(self) -> int:
        """Number of running generations of all client accounts."""
        return sum(self.running_by_account.values())


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """
    New state and decisions that result from an event.

    :param state: admission state after the event.
    :param outcomes: decisions on tickets made by the event.
    """

    state: AdmissionState
    outcomes: tuple[Outcome, ...] = ()


def request(
    state: AdmissionState, limits: AdmissionLimits, ticket: Ticket
) -> AdmissionResult:
    """
    Grant a slot to a request, queue it, or refuse it immediately.

    :param state: current admission state.
    :param limits: current limits.
    :param ticket: ticket of the request.
    """
    if not _is_within_quota(state, limits, ticket.account):
        retry_s = _estimate_wait_s(state, limits)
        return _refuse(state, ticket, ResultCode.QUOTA_EXCEEDED, retry_s)
    if ticket.is_resume or _has_free_slot(state, limits):
        return AdmissionResult(
            _add_running(state, ticket.account), (Grant(ticket),)
        )
    waiting_of_account = sum(
        waiter.account == ticket.account for waiter in state.waiting
    )
    if _is_queue_full(state, limits, ticket.account, waiting_of_account):
        retry_s = _estimate_wait_s(state, limits)
        return _refuse(state, ticket, ResultCode.QUEUE_FULL, retry_s)
    return AdmissionResult(
        dataclasses.replace(state, waiting=(*state.waiting, ticket))
    )


def release(
    state: AdmissionState, limits: AdmissionLimits, account: str
) -> AdmissionResult:
    """
    Free a slot and grant it to queued tickets.

    :param state: current admission state.
    :param limits: current limits.
    :param account: client account whose generation ended.
    """
    return _grant_waiting(_add_running(state, account, -1), limits)


def expire(
    state: AdmissionState, limits: AdmissionLimits, now_s: float
) -> AdmissionResult:
    """
    Refuse the tickets whose waiting time has expired.

    If there are none, free slots are granted to queued tickets, for example
    after an increase of the limits.
    """
    expired = tuple(
        ticket for ticket in state.waiting if ticket.expires_at_s <= now_s
    )
    if not expired:
        return _grant_waiting(state, limits)
    waiting = tuple(ticket for ticket in state.waiting if ticket not in expired)
    retry_s = _estimate_wait_s(state, limits)
    refused = tuple(
        Refuse(ticket, ResultCode.QUEUE_TIMEOUT, retry_s) for ticket in expired
    )
    return AdmissionResult(dataclasses.replace(state, waiting=waiting), refused)


def cancel(state: AdmissionState, request_id: str) -> AdmissionState:
    """Remove the ticket of a request whose caller has disconnected."""
    waiting = tuple(
        ticket for ticket in state.waiting if ticket.request_id != request_id
    )
    return dataclasses.replace(state, waiting=waiting)


def _has_free_slot(state: AdmissionState, limits: AdmissionLimits) -> bool:
    return state.running < limits.slots and not state.waiting


def _is_within_quota(
    state: AdmissionState, limits: AdmissionLimits, account: str
) -> bool:
    quota = limits.quota_by_account.get(account, limits.slots)
    return state.running_by_account.get(account, 0) < quota


def _is_queue_full(
    state: AdmissionState,
    limits: AdmissionLimits,
    account: str,
    waiting_of_account: int,
) -> bool:
    if len(state.waiting) >= limits.max_waiting:
        return True
    accounts = {ticket.account for ticket in state.waiting} | {account}
    total = sum(_weight(limits, name) for name in accounts)
    share = limits.max_waiting * _weight(limits, account) / total
    # Even the only queued account may use at most three quarters of the queue,
    # so that requests of other accounts can still be queued.
    return waiting_of_account >= min(share, limits.max_waiting * 0.75)


def _weight(limits: AdmissionLimits, account: str) -> int:
    return limits.weight_by_account.get(account, 1)


def _refuse(
    state: AdmissionState,
    ticket: Ticket,
    code: ResultCode,
    retry_after_s: float,
) -> AdmissionResult:
    return AdmissionResult(state, (Refuse(ticket, code, retry_after_s),))


def _estimate_wait_s(state: AdmissionState, limits: AdmissionLimits) -> float:
    backlog = state.running + len(state.waiting)
    return 1 + backlog / max(limits.slots, 1)


def _add_running(
    state: AdmissionState, account: str, delta: int = 1
) -> AdmissionState:
    running = dict(state.running_by_account)
    running[account] = running.get(account, 0) + delta
    if running[account] <= 0:
        running.pop(account)
    return dataclasses.replace(state, running_by_account=running)


def _grant_waiting(
    state: AdmissionState, limits: AdmissionLimits
) -> AdmissionResult:
    granted: list[Outcome] = []
    while state.running < limits.slots:
        ticket = _next_ticket(state, limits)
        if ticket is None:
            break
        state = _add_running(cancel(state, ticket.request_id), ticket.account)
        granted.append(Grant(ticket))
    return AdmissionResult(state, tuple(granted))


def _next_ticket(
    state: AdmissionState, limits: AdmissionLimits
) -> Ticket | None:
    allowed = [
        ticket
        for ticket in state.waiting
        if _is_within_quota(state, limits, ticket.account)
    ]
    if not allowed:
        return None
    return min(
        allowed,
        key=lambda ticket: (
            state.running_by_account.get(ticket.account, 0)
            / _weight(limits, ticket.account)
        ),
    )
