"""Interfaces between the gateway and the code that runs calls."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from ..config import Route
from ..upstream import ForwardRequest
from .call_messages import CallAnswer, CallRequest

__all__ = ['CallRunner', 'CallSender', 'RoutedCall']


@dataclasses.dataclass(frozen=True)
class RoutedCall:
    """
    A call and the route that it matched.

    :param call: the call to send.
    :param route_name: name of the route.
    :param route: settings of the route, such as the service and whether its
        calls are idempotent.
    :param account: client account of the caller.
    :param request_id: ID of the request.
    :param key: the caller's idempotency key, empty for none.
    :param deadline_at_s: deadline of the call, as loop time in seconds.
    :param forward: the original request if the call forwards it, else none.
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
    """Makes one attempt to send a call to one server."""

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """
        Send a call and return the response.

        :param server: name of the server.
        :param routed: the call with its route.
        :raises BronzesillError: ``CALL_NOT_RUN`` if the server did not run
            the call and never will, ``CALL_OUTCOME_UNKNOWN`` for any later
            failure.
        """


class CallRunner(Protocol):
    """Runs calls according to their routes."""

    async def run_call(self, routed: RoutedCall) -> CallAnswer:
        """
        Run a call and return the response.

        :raises BronzesillError: the call was not run, failed, or its outcome
            is unknown.
        """
