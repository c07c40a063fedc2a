"""Falcon sink for calls to plain (non-model) services."""

from __future__ import annotations

import asyncio
from typing import Any

from falcon import asgi

from ..calls import CallRequest, CallRunner, RoutedCall
from ..utils import BronzesillError, ResultCode
from .exchange import run_filters
from .filters import AssignRequestId, Authenticate, ReadBody
from .state import GatewayState

__all__ = ['PlainCallsResource']

_FILTERS = (AssignRequestId(), Authenticate(), ReadBody())


class PlainCallsResource:
    """
    Handles calls to any path that matches a configured route.

    :param state: configuration in force.
    :param runner: sends the calls to backend servers.
    """

    def __init__(self, state: GatewayState, runner: CallRunner) -> None:
        self._state = state
        self._runner = runner

    async def on_call(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        """
        Run a call and render its answer.

        :raises BronzesillError: no route matches, or the call is refused or
            fails.
        """
        if resp is None:
            return
        exchange = self._state.new_exchange(req)
        name = exchange.document.find_route('', req.path)
        if name is None:
            raise BronzesillError(
                ResultCode.ROUTE_UNKNOWN, f'not run: no route for {req.path}'
            )
        route = exchange.document.routes[name]
        exchange = await run_filters(_FILTERS, exchange)
        loop = asyncio.get_running_loop()
        call = CallRequest.from_headers(
            req.method,
            req.relative_uri,
            req.headers,
            exchange.body,
        )
        answer = await self._runner.run_call(
            RoutedCall(
                call=call,
                route_name=name,
                route=route,
                account=exchange.account,
                request_id=exchange.request_id,
                key=req.get_header('Idempotency-Key') or '',
                deadline_at_s=loop.time() + route.deadline_s,
            )
        )
        resp.status = answer.status
        resp.content_type = answer.content_type
        resp.data = answer.body
        resp.set_header('X-Request-Id', exchange.request_id)
        if answer.is_replay:
            resp.set_header('Idempotent-Replayed', 'true')
