"""Request context and the filter chain that builds it."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from falcon import asgi

from ..config import Document, Route
from ..upstream import CallerFields

__all__ = ['Exchange', 'RequestFilter', 'run_filters']


@dataclasses.dataclass(frozen=True)
class Exchange:
    """
    Request context; each filter returns a copy with further fields set.

    :param http: the falcon request.
    :param document: configuration in force when the request arrived.
    :param request_id: id of the request.
    :param has_caller_request_id: whether the caller chose the request id.
    :param account: client account, empty if not authenticated.
    :param body: bytes of the body.
    :param fields: fields of a JSON body.
    :param route_name: name of the matching route, empty if none was looked up.
    :param caller: fields that the caller of a forwarded request stated in
        headers.
    """

    http: asgi.Request
    document: Document
    request_id: str = ''
    has_caller_request_id: bool = False
    account: str = ''
    body: bytes = b''
    fields: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    route_name: str = ''
    caller: CallerFields = dataclasses.field(default_factory=CallerFields)

    @property
    def route(self) -> Route | None:
        """The matching route, ``None`` for paths that the daemon serves."""
        return self.document.routes.get(self.route_name)


class RequestFilter(Protocol):
    """Processing step of a filter chain."""

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Check a request and return its context with further fields set.

        :param exchange: context set by the filters before this one.
        :raises BronzesillError: the request is refused.
        """


async def run_filters(
    filters: tuple[RequestFilter, ...], exchange: Exchange
) -> Exchange:
    """
    Apply filters to a request in order.

    :raises BronzesillError: a filter refuses the request.
    """
    for request_filter in filters:
        exchange = await request_filter.apply(exchange)
    return exchange
