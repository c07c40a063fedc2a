"""Falcon sink for requests that are passed on as they came."""

from __future__ import annotations

import asyncio
import dataclasses
import types
from random import Random
from typing import Any

from falcon import asgi

from ..calls import (
    CallAnswer,
    CallRequest,
    IdempotentCalls,
    OnceCalls,
    RoutedCall,
)
from ..config import Route
from ..generations import (
    GenerationsController,
)
from ..upstream import Dialect, ForwardRequest, Header
from ..utils import (
    TARGET_KEY,
    BronzesillError,
    Metrics,
    PartLogger,
    ResultCode,
)
from .disconnect import (
    ReceiveKeeper,
    run_until_disconnect,
)
from .exchange import Exchange, RequestFilter, run_filters
from .filters import Authenticate, FindRoute, ReadBody, ReadCaller, raw_headers
from .forward_stream import ForwardedStream
from .rendering import render_error
from .state import GatewayState

__all__ = ['ForwardParts', 'ForwardResource', 'make_forward_app']

_FALLBACK_STATUS = 503
_MS_PER_S = 1000
_CLOSE = 'close'
_RETRY_ELSEWHERE_S = 0.05

#: Usual time of a call, and pace of an engine, for hosts about to stop.
_CALL_EXPECTED_S = 0.7
_READ_TOKENS_PER_S = 6000
_TOKEN_GAP_S = 0.005

#: Statuses of requests that may have run or that nobody answered in time.
_STATUS_BY_CODE = types.MappingProxyType(
    {
        ResultCode.MALFORMED_BODY: 400,
        ResultCode.FIELD_INVALID: 400,
        ResultCode.KEY_REJECTED: 401,
        ResultCode.ROUTE_UNKNOWN: 404,
        ResultCode.BODY_TOO_SLOW: 408,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.CALL_OUTCOME_UNKNOWN: 502,
        ResultCode.CALL_FAILED: 502,
        ResultCode.CALL_TIMED_OUT: 504,
        ResultCode.INCOMPLETE_RETRIES: 502,
        ResultCode.INCOMPLETE_DEADLINE: 504,
    }
)

_log = PartLogger('gateway')


@dataclasses.dataclass(frozen=True)
class ForwardParts:
    """
    What answers requests that are passed on.

    :param dialect: names and formats of headers.
    :param generations: answers streams that may be resumed.
    :param repeated: answers calls that may run more than once.
    :param once: answers calls that may run at most once.
    :param random: generator for the choice among services.
    :param metrics: receiver of counts and latencies.
    """

    dialect: Dialect
    generations: GenerationsController
    repeated: IdempotentCalls
    once: OnceCalls
    random: Random
    metrics: Metrics


class ForwardResource:
    """
    Requests to any path that a route of the configuration leads to.

    :param state: configuration in force.
    :param parts: what answers the requests.
    """

    def __init__(self, state: GatewayState, parts: ForwardParts) -> None:
        self._state = state
        self._parts = parts
        self._filters: tuple[RequestFilter, ...] = (
            ReadCaller(parts.dialect),
            FindRoute(),
            Authenticate(),
            ReadBody(),
        )

    async def on_request(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        """Pass a request on."""
        if resp is None:
            return
        if self._state.is_stopping:
            resp.set_header('Connection', _CLOSE)
        started_s = asyncio.get_running_loop().time()
        exchange = await run_filters(self._filters, self._state.exchange(req))
        route = self._route(exchange)
        forward = self._forward(exchange, route, started_s)
        self._check_time_left(route, forward, started_s)
        if route.is_stream and route.idempotent:
            await self._stream(req, resp, forward, route, exchange.route_name)
            self._note_latency('stream_first_event', started_s)
            return
        work = self._call(resp, forward, route, exchange.route_name)
        await run_until_disconnect(req, work)
        kind = 'repeatable' if route.idempotent else 'once'
        self._note_latency(kind, started_s)

    async def on_error(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        error: BronzesillError,
        params: dict[str, Any],
        **_: Any,
    ) -> None:
        """Answer a request that was refused or failed."""
        self._parts.metrics.incr(f'refused.{error.code.name.lower()}')
        request_id = self._parts.dialect.request_id(raw_headers(req))
        _send_error(request_id, req.path, resp, error)

    def _check_time_left(
        self, route: Route, forward: ForwardRequest, now_s: float
    ) -> None:
        ends_at_s = self._state.ends_at_s
        if ends_at_s is None:
            return
        if now_s + _expected_s(route, forward) > ends_at_s:
            raise BronzesillError(
                ResultCode.STOPPING,
                'not run: this host is about to stop',
                retry_after_s=_RETRY_ELSEWHERE_S,
            )

    def _route(self, exchange: Exchange) -> Route:
        route = exchange.route
        if route is None:
            raise BronzesillError(ResultCode.ROUTE_UNKNOWN, 'not run: no route')
        if not route.weight_by_service:
            return route
        names = tuple(route.weight_by_service)
        weights = tuple(route.weight_by_service.values())
        drawn = self._parts.random.choices(names, weights)[0]
        return dataclasses.replace(route, service=drawn)

    def _forward(
        self, exchange: Exchange, route: Route, started_s: float
    ) -> ForwardRequest:
        patience_s = exchange.caller.patience_s
        left_s = route.deadline_s
        if patience_s is not None:
            left_s = min(left_s, patience_s)
        headers = raw_headers(exchange.http)
        return ForwardRequest(
            request_id=exchange.request_id,
            method=exchange.http.method,
            target=exchange.http.scope[TARGET_KEY],
            headers=self._parts.dialect.kept_headers(headers),
            body=exchange.body,
            account=exchange.account,
            deadline_at_s=started_s + left_s,
            caller=exchange.caller,
        )

    def _note_latency(self, kind: str, started_s: float) -> None:
        spent_s = asyncio.get_running_loop().time() - started_s
        self._parts.metrics.timing(f'requests.{kind}', spent_s * _MS_PER_S)

    async def _call(
        self,
        resp: asgi.Response,
        forward: ForwardRequest,
        route: Route,
        route_name: str,
    ) -> None:
        routed = RoutedCall(
            call=CallRequest(forward.method, '', {}, forward.body),
            route_name=route_name,
            route=route,
            account=forward.account,
            request_id=forward.request_id,
            key='',
            deadline_at_s=forward.deadline_at_s,
            forward=forward,
        )
        if route.idempotent:
            answer = await self._parts.repeated.run(routed)
        else:
            answer = await self._parts.once.run(routed)
        _render(resp, answer)

    async def _stream(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        forward: ForwardRequest,
        route: Route,
        route_name: str,
    ) -> None:
        reader = ForwardedStream(
            self._parts.generations, forward, route, route_name
        )
        opened = reader.open()
        try:
            await run_until_disconnect(req, opened)
        except BaseException:
            reader.close()
            raise
        reader.watch(req)
        head = reader.head
        resp.status = head.status
        _set_headers(resp, self._parts.dialect.kept_answer_headers(head))
        resp.stream = reader.events()


def _expected_s(route: Route, forward: ForwardRequest) -> float:
    if not route.is_stream:
        return _CALL_EXPECTED_S
    caller = forward.caller
    return (
        caller.prompt_tokens / _READ_TOKENS_PER_S
        + caller.max_output_tokens * _TOKEN_GAP_S
    )


def make_forward_app(
    resource: ForwardResource,
) -> ReceiveKeeper:
    """Put the sink into an application."""
    app: asgi.App[Any, Any] = asgi.App()
    app.add_error_handler(BronzesillError, resource.on_error)
    app.add_sink(resource.on_request, '/')
    return ReceiveKeeper(app)


def _send_error(
    request_id: str, path: str, response: asgi.Response, error: BronzesillError
) -> None:
    response.status = _STATUS_BY_CODE.get(error.code, _FALLBACK_STATUS)
    response.content_type = 'application/json'
    response.data = render_error(error)
    if error.retry_after_s is not None:
        response.set_header('Retry-After', f'{error.retry_after_s:.3f}')
    _log.event(
        'refused',
        request=request_id,
        path=path,
        status=response.status,
        code=int(error.code),
        reason=error.message,
        retry_after_s=error.retry_after_s,
    )


def _render(resp: asgi.Response, answer: CallAnswer) -> None:
    resp.status = answer.status
    resp.data = answer.body
    _set_headers(resp, answer.headers)


def _set_headers(resp: asgi.Response, headers: tuple[Header, ...]) -> None:
    for header in headers:
        resp.append_header(
            header.name.decode('latin-1'), header.text.decode('latin-1')
        )
