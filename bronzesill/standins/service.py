"""Stand-in for a plain service with non-idempotent calls."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
from falcon import asgi

from ..utils import Address
from .http_standin import HttpStandIn

__all__ = ['ServiceStandIn']

_SERVER_ERROR = 500


class ServiceStandIn(HttpStandIn):
    """
    Service that records the idempotency key of each executed call.

    :param address: address to listen on.
    :param name: name included in responses.
    """

    def __init__(self, address: Address, name: str) -> None:
        super().__init__(address)
        self.name = name
        self.runs: list[str] = []
        self.delay_s: float = 0
        self.fail_after_run = False
        self.abort_after_run = False

    async def run_call(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Execute a call, record its key and apply the injected faults."""
        body = await request.stream.read()
        key = request.get_header('Idempotency-Key') or ''
        self.runs.append(key)
        await asyncio.sleep(self.delay_s)
        if self.abort_after_run:
            await self._server.kill()
        if self.fail_after_run:
            response.status = _SERVER_ERROR
        response.media = self._make_response_body(request, key, len(body))

    async def on_get_runs(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return the idempotency keys of all executed calls."""
        response.media = self.runs

    async def on_post_faults(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Inject faults and return the number of executed calls.

        The JSON body sets any of ``delay_s``, ``fail_after_run`` and
        ``abort_after_run``.
        """
        faults = orjson.loads(await request.stream.read())
        for name, setting in faults.items():
            setattr(self, name, setting)
        response.media = {'runs': len(self.runs)}

    def _make_response_body(
        self, request: asgi.Request, key: str, size: int
    ) -> dict[str, Any]:
        return {
            'service': self.name,
            'method': request.method,
            'path': request.path,
            'key': key,
            'body_bytes': size,
            'run': len(self.runs),
        }

    def _make_app(self) -> asgi.App[Any, Any]:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/standin/runs', self, suffix='runs')
        app.add_route('/standin/faults', self, suffix='faults')
        app.add_sink(self.run_call, '/')  # type: ignore[arg-type]
        return app
