"""Stand-in for a plain service whose calls may not be repeated."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
from falcon import asgi

from ..utils import Address
from .served import ServedStandIn

__all__ = ['ServiceStandIn']

_SERVER_ERROR = 500


class ServiceStandIn(ServedStandIn):
    """
    A shop or booking service that keeps a list of what it ran.

    :param address: where it listens.
    :param name: name shown in its answers.
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
        """Run a call and remember that it ran."""
        body = await request.stream.read()
        key = request.get_header('Idempotency-Key') or ''
        self.runs.append(key)
        await asyncio.sleep(self.delay_s)
        if self.abort_after_run:
            await self._server.kill()
        if self.fail_after_run:
            response.status = _SERVER_ERROR
        response.media = self._answer(request, key, len(body))

    async def on_get_runs(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the keys of all calls that ran."""
        response.media = self.runs

    async def on_post_faults(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Set faults: ``delay_s`` or ``fail_after_run``."""
        faults = orjson.loads(await request.stream.read())
        for name, level in faults.items():
            setattr(self, name, level)
        response.media = {'runs': len(self.runs)}

    def _answer(
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
