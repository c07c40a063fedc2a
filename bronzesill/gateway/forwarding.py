"""Falcon sink that forwards requests without changing their bodies."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import types
from random import Random
from typing import Any

from falcon import asgi

from ..calls import (
    AtMostOnceCalls,
    CallAnswer,
    CallRequest,
    DurationLog,
    IdempotentCalls,
    ObservedRequest,
    RequestSize,
    RoutedCall,
)
from ..config import Route
from ..generations import (
    GenerationsController,
)
from ..limits import engine_priority, priority_rank
from ..upstream import AnswerMemory, Dialect, ForwardRequest, Header
from ..utils import (
    TARGET_KEY,
    BronzesillError,
    Metrics,
    PartLogger,
    ResultCode,
    log_unexpected,
)
from .disconnect import ReceiveBufferMiddleware
from .exchange import Exchange, RequestFilter, run_filters
from .filters import (
    Authenticate,
    FindRoute,
    ReadBody,
    ReadCallerFields,
    raw_headers,
)
from .forward_stream import ForwardedStream
from .rendering import render_error
from .state import (
    STOP_MARGIN_S,
    GatewayState,
    OpenRequest,
    stopping_error,
)

__all__ = ['ForwardComponents', 'ForwardResource', 'make_forward_app']

_FALLBACK_STATUS = 503
_MS_PER_S = 1000
_CLOSE = 'close'

#: HTTP statuses of invalid requests, of requests that may have run, and of
#: time-outs.  All other codes give ``_FALLBACK_STATUS``.
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
class ForwardComponents:
    """
    Components that process forwarded requests.

    :param dialect: header names and formats of the platform.
    :param generations: handles resumable streams.
    :param idempotent_calls: handles calls that may run more than once.
    :param at_most_once_calls: handles calls that may run at most once.
    :param random: random number generator for the weighted choice of a
        service.
    :param metrics: receives counters and latencies.
    :param memory: memory for requests and answers.
    """

    dialect: Dialect
    generations: GenerationsController
    idempotent_calls: IdempotentCalls
    at_most_once_calls: AtMostOnceCalls
    random: Random
    metrics: Metrics
    memory: AnswerMemory = dataclasses.field(default_factory=AnswerMemory)


class ForwardResource:
    """
    Forwards requests to any path that matches a configured route.

    :param state: configuration in force.
    :param components: components that process the requests.
    """

    def __init__(
        self, state: GatewayState, components: ForwardComponents
    ) -> None:
        self._state = state
        self._components = components
        self._durations = DurationLog()
        self._filters: tuple[RequestFilter, ...] = (
            ReadCallerFields(components.dialect),
            FindRoute(),
            Authenticate(),
            ReadBody(components.memory),
        )

    async def on_request(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        """
        Forward a request to a backend server and render its answer.

        While the host is stopping, the answer carries ``Connection: close``.
        Idempotent streams are resumable generations; all other requests are
        calls.

        :raises BronzesillError: the request is refused or fails.
        """
        if resp is None:
            return
        started_s = asyncio.get_running_loop().time()
        await self._state.wait_until_started()
        exchange = await run_filters(
            self._filters, self._state.new_exchange(req)
        )
        route = self._select_route(exchange)
        forward = self._make_forward_request(exchange, route, started_s)
        self._check_time_before_stop(route, forward, started_s)
        if route.is_stream and route.idempotent:
            await self._stream(req, resp, forward, route, exchange.route_name)
            self._announce_close(resp)
            self._record_latency('stream_first_event', started_s)
            return
        running_call = self._run_call(resp, forward, route, exchange.route_name)
        # How far a call has come is known to its attempts only.
        call = OpenRequest(_always, lambda _: forward.deadline_at_s)
        try:
            await self._state.open_requests.run(req, running_call, call)
        except BaseException:
            self._record_call(route, started_s, is_whole=False)
            raise
        self._announce_close(resp)
        self._record_call(route, started_s, is_whole=True)
        call_type = 'repeatable' if route.idempotent else 'once'
        self._record_latency(call_type, started_s)

    async def on_unexpected_error(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        error: Exception,
        params: dict[str, Any],
        **options: Any,
    ) -> None:
        """
        Log an error that is not a :class:`BronzesillError`, and answer.

        The answer does not say that the request was not run, which is unknown.
        """
        request_id = self._components.dialect.request_id(raw_headers(req))
        log_unexpected(request_id, 'a request', error)
        lost = BronzesillError(
            ResultCode.CALL_OUTCOME_UNKNOWN, 'outcome unknown: internal error'
        )
        await self.on_error(req, resp, lost, params, **options)

    async def on_error(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        error: BronzesillError,
        params: dict[str, Any],
        **_: Any,
    ) -> None:
        """Render an error response, count it and log the refusal."""
        self._components.metrics.incr(f'refused.{error.code.name.lower()}')
        request_id = self._components.dialect.request_id(raw_headers(req))
        _send_error(request_id, req.path, resp, error)
        self._announce_close(resp)

    def _announce_close(self, resp: asgi.Response) -> None:
        if self._state.is_stopping:
            resp.set_header('Connection', _CLOSE)

    def _check_time_before_stop(
        self, route: Route, forward: ForwardRequest, now_s: float
    ) -> None:
        stops_at_s = self._state.stops_at_s
        if stops_at_s is None:
            return
        latest_end_s = self._latest_end_s(route, forward, now_s)
        if latest_end_s + STOP_MARGIN_S > stops_at_s:
            raise stopping_error()

    def _latest_end_s(
        self, route: Route, forward: ForwardRequest, now_s: float
    ) -> float:
        """
        Return the time by which a request has ended.

        That is its deadline, or earlier if requests for its service have
        taken less time of late.  A call that may run at most once cannot be
        repeated when it is cut, so only the deadline counts for it.
        """
        if not route.idempotent:
            return forward.deadline_at_s
        caller = forward.caller
        size = RequestSize(caller.prompt_tokens, caller.max_output_tokens)
        predicted_s = self._durations.predict_s(route.service, size, now_s)
        if predicted_s is None:
            return forward.deadline_at_s
        return min(forward.deadline_at_s, now_s + predicted_s)

    def _record_call(
        self, route: Route, started_s: float, *, is_whole: bool
    ) -> None:
        """Record a call that may be repeated; others are not predicted."""
        if not route.idempotent:
            return
        now_s = asyncio.get_running_loop().time()
        observed = ObservedRequest(
            RequestSize(), now_s, now_s - started_s, is_whole=is_whole
        )
        self._durations.record(route.service, observed)

    def _select_route(self, exchange: Exchange) -> Route:
        route = exchange.route
        if route is None:
            raise BronzesillError(ResultCode.ROUTE_UNKNOWN, 'not run: no route')
        if not route.weight_by_service:
            return route
        names = tuple(route.weight_by_service)
        weights = tuple(route.weight_by_service.values())
        service_name = self._components.random.choices(names, weights)[0]
        return dataclasses.replace(route, service=service_name)

    def _make_forward_request(
        self, exchange: Exchange, route: Route, started_s: float
    ) -> ForwardRequest:
        caller_timeout_s = exchange.caller.timeout_s
        timeout_s = route.deadline_s
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        headers = raw_headers(exchange.http)
        return ForwardRequest(
            request_id=exchange.request_id,
            method=exchange.http.method,
            target=exchange.http.scope[TARGET_KEY],
            headers=self._components.dialect.forwarded_request_headers(headers),
            body=exchange.body,
            account=exchange.account,
            deadline_at_s=started_s + timeout_s,
            caller=exchange.caller,
            priority=engine_priority(exchange.document, route),
            priority_rank=priority_rank(
                exchange.document, route, exchange.account
            ),
        )

    def _record_latency(self, call_type: str, started_s: float) -> None:
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self._components.metrics.timing(
            f'requests.{call_type}', elapsed_s * _MS_PER_S
        )

    async def _run_call(
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
            answer = await self._components.idempotent_calls.run(routed)
        else:
            answer = await self._components.at_most_once_calls.run(routed)
        _render_answer(resp, answer)

    async def _stream(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        forward: ForwardRequest,
        route: Route,
        route_name: str,
    ) -> None:
        stream = ForwardedStream(
            self._components.generations,
            forward,
            route,
            route_name,
            self._durations,
        )
        opening = stream.open()
        try:
            await self._state.open_requests.run(
                req,
                opening,
                OpenRequest(
                    stream.has_sent,
                    functools.partial(self._latest_end_s, route, forward),
                ),
            )
        except BaseException:
            stream.close()
            raise
        stream.end_on_disconnect(req)
        head = stream.head
        resp.status = head.status
        _set_headers(
            resp, self._components.dialect.forwarded_answer_headers(head)
        )
        resp.stream = stream.events()


def _always() -> bool:
    return True


def make_forward_app(
    resource: ForwardResource,
) -> ReceiveBufferMiddleware:
    """
    Create the ASGI application that forwards all paths.

    :param resource: the sink, which also renders errors.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_error_handler(Exception, resource.on_unexpected_error)
    app.add_error_handler(BronzesillError, resource.on_error)
    app.add_sink(resource.on_request, '/')
    return ReceiveBufferMiddleware(app)


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


def _render_answer(resp: asgi.Response, answer: CallAnswer) -> None:
    resp.status = answer.status
    resp.data = answer.body
    _set_headers(resp, answer.headers)


def _set_headers(resp: asgi.Response, headers: tuple[Header, ...]) -> None:
    for header in headers:
        resp.append_header(
            header.name.decode('latin-1'), header.text.decode('latin-1')
        )
