"""Calls that crash backend servers, or may."""

from __future__ import annotations

from typing import Protocol

from ..upstream import ForwardRequest
from ..utils import BronzesillError, ResultCode, rank_by_rendezvous

__all__ = [
    'MIN_AVAILABLE',
    'CallQuarantine',
    'NoQuarantine',
    'choose_held',
    'refuse_blocked',
]

#: The last available servers of a service are not risked.
MIN_AVAILABLE = 1
#: Time after which others of the servers may be back.
_RETRY_AFTER_S = 1.0


class CallQuarantine(Protocol):
    """Tells which requests crash servers, or may."""

    def blocked_s(self, forward: ForwardRequest) -> float:
        """Return for how long a request is refused, 0 if it is not."""

    def is_held(self, forward: ForwardRequest) -> bool:
        """Return whether a request must not risk the last server."""

    def identity(self, forward: ForwardRequest) -> str:
        """Return the identity of a request, the same for all its repeats."""


class NoQuarantine:
    """Quarantine that lets all requests pass."""

    def blocked_s(self, forward: ForwardRequest) -> float:
        """Return 0."""
        return 0

    def is_held(self, forward: ForwardRequest) -> bool:
        """Return false."""
        return False

    def identity(self, forward: ForwardRequest) -> str:
        """Return an empty identity."""
        return ''


def refuse_blocked(quarantine: CallQuarantine, forward: ForwardRequest) -> None:
    """
    Refuse a request if servers crash on it.

    :raises BronzesillError: ``REQUEST_BLOCKED`` if they do.
    """
    blocked_s = quarantine.blocked_s(forward)
    if blocked_s:
        raise BronzesillError(
            ResultCode.REQUEST_BLOCKED,
            'not run: servers crash on such requests',
            retry_after_s=blocked_s,
        )


def choose_held(identity: str, available: tuple[str, ...]) -> str:
    """
    Return the only server that a call which may crash it is sent to.

    All daemons choose the same one, and others for other calls: what was on a
    server together comes apart.

    :param identity: identity of the call.
    :param available: servers that may run it and seem to be up.
    :raises BronzesillError: ``REQUEST_BLOCKED`` if it would be the last one.
    """
    if len(available) <= MIN_AVAILABLE:
        raise BronzesillError(
            ResultCode.REQUEST_BLOCKED,
            'not run: servers may have crashed on such requests, and too few '
            'are left',
            retry_after_s=_RETRY_AFTER_S,
        )
    return rank_by_rendezvous(identity, available)[0]
