"""What the gateway asks of the part that runs calls."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from ..config import Route
from ..upstream import ForwardRequest
from .pass_through import CallAnswer, CallRequest

__all__ = ['CallRunner', 'CallSender', 'RoutedCall']


@dataclasses.dataclass(frozen=True)
class RoutedCall:
    """
    A call with the route it takes.

    :param call: what to send.
    :param route_name: name of the route.
    :param route: where it leads and whether it may be repeated.
    :param account: client account that calls.
    :param request_id: name of the request.
    :param key: the caller's idempotency key, empty for none.
    :param deadline_at_s: loop time at which nobody waits any more.
    :param forward: the request as it came if it is passed on as such.
    """

    call: CallRequest
    route_name: str
    route: Route
    account: str
    request_id: str
    key: str
    deadline_at_s: float
    forward: ForwardRequest | None = None


class CallSender(Protocol):
    """Sends a call to one server, once."""

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """
        Send a call.

        :param server: name of the server.
        :param routed: the call with its route.
        :raises BronzesillError: ``CALL_NOT_RUN`` if the server did not run
            it and never will, ``CALL_OUTCOME_UNKNOWN`` for any later
            failure.
        """


class CallRunner(Protocol):
    """Runs calls as their routes demand."""

    async def run_call(self, routed: RoutedCall) -> CallAnswer:
        """
        Run a call and return its answer.

        :raises BronzesillError: the call was not run, failed, or has an
            unknown outcome.
        """
