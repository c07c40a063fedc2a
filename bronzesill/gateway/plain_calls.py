"""Falcon sink for calls to plain services."""

from __future__ import annotations

from typing import Any

from falcon import asgi

from ..calls import CallRequest, CallRunner, RoutedCall
from ..config import Route
from ..utils import BronzesillError, ResultCode
from .exchange import run_filters
from .filters import Authenticate, NameRequest, ReadBody
from .state import GatewayState

__all__ = ['PlainCallsResource']

_FILTERS = (NameRequest(), Authenticate(), ReadBody())


class PlainCallsResource:
    """
    Calls to any path that a route of the configuration leads to.

    :param state: configuration in force.
    :param runner: runs the calls.
    """

    def __init__(self, state: GatewayState, runner: CallRunner) -> None:
        self._state = state
        self._runner = runner

    async def on_call(
        self, request: asgi.Request, response: asgi.Response, **_: Any
    ) -> None:
        """Pass a call through."""
        exchange = self._state.exchange(request)
        name = _find_route(exchange.document.routes, request.path)
        exchange = await run_filters(_FILTERS, exchange)
        call = CallRequest.from_headers(
            request.method,
            request.relative_uri,
            request.headers,
            exchange.body,
        )
        answer = await self._runner.run_call(
            RoutedCall(
                call=call,
                route_name=name,
                route=exchange.document.routes[name],
                account=exchange.account,
                request_id=exchange.request_id,
                key=request.get_header('Idempotency-Key') or '',
            )
        )
        response.status = answer.status
        response.content_type = answer.content_type
        response.data = answer.body
        response.set_header('X-Request-Id', exchange.request_id)
        if answer.is_replay:
            response.set_header('Idempotent-Replayed', 'true')


def _find_route(routes: dict[str, Route], path: str) -> str:
    matching = [
        name for name, route in routes.items() if path.startswith(route.path)
    ]
    if not matching:
        raise BronzesillError(
            ResultCode.ROUTE_UNKNOWN, f'not run: no route for {path}'
        )
    return max(matching, key=lambda name: len(routes[name].path))
