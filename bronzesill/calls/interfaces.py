"""Calls to plain services, and the interfaces of the code that runs them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Protocol

from ..config import Route
from ..upstream import ForwardRequest, Header

__all__ = [
    'CallAnswer',
    'CallRequest',
    'CallRunner',
    'CallSender',
    'RoutedCall',
    'SendProgress',
]

_FORWARDED_HEADERS = frozenset(('content-type', 'accept', 'idempotency-key'))


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """
    A call as it is sent to a plain service.

    :param method: HTTP method.
    :param path: request path with the query string.
    :param headers: headers to send, by name in lower case.
    :param body: request body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @classmethod
    def from_headers(
        cls, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> CallRequest:
        """Build a call with only those headers that are forwarded."""
        forwarded = {
            name.lower(): value
            for name, value in headers.items()
            if name.lower() in _FORWARDED_HEADERS
        }
        return cls(method, path, forwarded, body)


@dataclasses.dataclass(frozen=True)
class CallAnswer:
    """
    Response of a plain service.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: response body.
    :param is_replay: whether the response is a recorded one of an earlier
        run of the call.
    :param headers: headers of a forwarded response.
    """

    status: int
    content_type: str
    body: bytes
    is_replay: bool = False
    headers: tuple[Header, ...] = ()


class SendProgress:
    """
    How far an attempt to send a call has come.

    A sender that clears ``may_have_run`` sets it before it sends anything.
    """

    def __init__(self) -> None:
        #: Whether the server may have received the call.
        self.may_have_run = True


def _never() -> bool:
    return False


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
    :param may_give_up: returns whether an attempt whose path to the server is
        cut is to be given up, because another one is made in its place.
    :param progress: progress of this attempt.
    """

    call: CallRequest
    route_name: str
    route: Route
    account: str
    request_id: str
    key: str
    deadline_at_s: float
    forward: ForwardRequest | None = None
    may_give_up: Callable[[], bool] = _never
    progress: SendProgress = dataclasses.field(default_factory=SendProgress)


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
