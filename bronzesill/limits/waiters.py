"""Requests that wait, and the decisions that refuse them."""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    'QueueBounds',
    'QueueRefusal',
    'RefusalCause',
    'WaitForecast',
    'Waiter',
]

#: Part of its time after which a waiting request is raised by one rank.
_RAISED_AFTER = 0.5


class RefusalCause(enum.Enum):
    """
    Why a request may not wait any longer.

    ``TOO_LONG``: its wait is predicted to exceed its time. ``FULL``: the queue
    has reached its bounds. ``LATE``: its time is over. ``STOPPING``: the host
    stops.
    """

    TOO_LONG = 'too_long'
    FULL = 'full'
    LATE = 'late'
    STOPPING = 'stopping'


@dataclasses.dataclass(frozen=True)
class QueueBounds:
    """
    Bounds of the queue of one service.

    :param max_waiting: maximum number of waiting requests.
    :param max_bytes: maximum size of their bodies in total.
    """

    max_waiting: int = 512
    max_bytes: int = 16_000_000


@dataclasses.dataclass(frozen=True)
class Waiter:
    """
    A request that waits for a server.

    :param request_id: id of the request, unique at this host.
    :param account: client account of the caller.
    :param joined_at_s: time in seconds at which it began to wait.
    :param deadline_at_s: time in seconds by which it must be answered.
    :param needed_s: seconds that it needs after its dispatch, 0 if unknown.
    :param rank: rank of its priority in the service, 0 for the most urgent.
    :param size: name of its size class, empty for none.
    :param body_bytes: size of its body.
    :param is_retry: whether a server rejected or lost it before.
    :param has_begun: whether a part of its answer has been delivered.
    :param may_have_run: whether it has been sent to a server.
    :param fingerprint: hash of its body, by which a repeated request is
        recognised; 0 if unknown.
    :param is_early: whether it repeats a refused request before the time that
        the caller was told.
    """

    request_id: str
    account: str
    joined_at_s: float
    deadline_at_s: float
    needed_s: float = 0
    rank: int = 0
    size: str = ''
    body_bytes: int = 0
    is_retry: bool = False
    has_begun: bool = False
    may_have_run: bool = False
    fingerprint: int = 0
    is_early: bool = False

    @property
    def is_refusable(self) -> bool:
        """Whether the request may still be answered with "not run"."""
        return not (self.has_begun or self.may_have_run)

    @property
    def latest_start_s(self) -> float:
        """Time in seconds after which a dispatch would be too late."""
        return self.deadline_at_s - self.needed_s

    @property
    def raised_at_s(self) -> float:
        """Time in seconds from which the request is raised by one rank."""
        time_s = max(self.latest_start_s - self.joined_at_s, 0)
        return self.joined_at_s + _RAISED_AFTER * time_s

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of requests among which shares are compared."""
        return (
            f'rank {self.rank}',
            self.account_kind,
            f'size {self.size}',
        )

    @property
    def account_kind(self) -> str:
        """Kind of the requests of its account."""
        return f'account {self.account}'


@dataclasses.dataclass(frozen=True)
class WaitForecast:
    """
    How long a request is expected to wait, and what this follows from.

    :param ahead: number of requests ahead of it.
    :param rate: dispatches a second, ``None`` if not known.
    :param rate_age_s: seconds since the last dispatch from which the rate
        is derived.
    :param wait_s: seconds until its dispatch, ``None`` if not known.
    """

    ahead: int = 0
    rate: float | None = None
    rate_age_s: float = 0
    wait_s: float | None = None


@dataclasses.dataclass(frozen=True)
class QueueRefusal:
    """
    Decision that a request is refused as not run.

    :param waiter: the request.
    :param cause: reason of the refusal.
    :param retry_after_s: seconds after which the caller may try again.
    :param forecast: what was expected of its wait.
    """

    waiter: Waiter
    cause: RefusalCause
    retry_after_s: float
    forecast: WaitForecast
