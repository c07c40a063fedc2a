"""Assembly of a daemon's falcon application."""

from __future__ import annotations

import math
from typing import Any, Protocol

from falcon import asgi

from ..utils import BronzesillError, PartLogger
from .completions import CompletionsResource
from .disconnect import ReceiveBufferMiddleware
from .information import InformationResource
from .plain_calls import PlainCallsResource
from .rendering import render_error

__all__ = ['make_app']

_log = PartLogger('gateway')


class AdminRoutes(Protocol):
    """Resource that adds its own routes for operators."""

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the routes of this resource to an application."""


async def _send_error(
    request: asgi.Request,
    response: asgi.Response,
    error: BronzesillError,
    route_fields: dict[str, Any],
    **ignored: Any,
) -> None:
    _log.info('%s %s refused: %s', request.method, request.path, error)
    response.status = error.http_status
    response.content_type = 'application/json'
    response.data = render_error(error)
    # Stock clients retry some error statuses by default; this header overrides
    # that.
    should_retry = error.retry_after_s is not None
    response.set_header('X-Should-Retry', str(should_retry).lower())
    if error.retry_after_s is not None:
        response.set_header('Retry-After', str(math.ceil(error.retry_after_s)))


def make_app(
    completions: CompletionsResource,
    information: InformationResource,
    calls: PlainCallsResource,
    admin: tuple[AdminRoutes, ...],
) -> ReceiveBufferMiddleware:
    """
    Create the ASGI application of a daemon.

    :param completions: resource for text and chat completions.
    :param information: resource for addresses, models and health.
    :param calls: sink for calls to plain services, which gets all other
        paths.
    :param admin: resources for operators.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_error_handler(BronzesillError, _send_error)
    app.add_route('/v1/completions', completions)
    app.add_route('/v1/chat/completions', completions, suffix='chat')
    app.add_route('/v1/addresses', information, suffix='addresses')
    app.add_route('/v1/models', information, suffix='models')
    app.add_route('/healthz', information, suffix='health')
    app.add_route('/readyz', information, suffix='ready')
    for resource in admin:
        resource.add_routes(app)
    app.add_sink(calls.on_call, '/')
    return ReceiveBufferMiddleware(app)
