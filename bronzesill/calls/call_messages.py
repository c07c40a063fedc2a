"""HTTP calls to plain services and their responses."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..upstream import Header

__all__ = ['CallAnswer', 'CallRequest']

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
