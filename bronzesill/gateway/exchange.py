"""A request on its way through the filter chain."""

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
    What is known of a request so far; each filter adds its part.

    :param http: the request as it came in.
    :param document: configuration in force when it came in.
    :param request_id: name of the request.
    :param is_named_by_caller: whether the caller chose that name.
    :param account: client account, empty before its key was checked.
    :param body: bytes of the body.
    :param fields: fields of a JSON body.
    :param route_name: name of the route that the path leads to.
    :param caller: what the caller says in headers of a request that is
        passed on.
    """

    http: asgi.Request
    document: Document
    request_id: str = ''
    is_named_by_caller: bool = False
    account: str = ''
    body: bytes = b''
    fields: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    route_name: str = ''
    caller: CallerFields = dataclasses.field(default_factory=CallerFields)

    @property
    def route(self) -> Route | None:
        """The route that the path leads to, none for our own paths."""
        return self.document.routes.get(self.route_name)


class RequestFilter(Protocol):
    """One step that every request of a kind goes through."""

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Check a request and add what was learnt of it.

        :raises BronzesillError: the request is refused.
        """


async def run_filters(
    filters: tuple[RequestFilter, ...], exchange: Exchange
) -> Exchange:
    """Send a request through a chain of filters, first to last."""
    for request_filter in filters:
        exchange = await request_filter.apply(exchange)
    return exchange
