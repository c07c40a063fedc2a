"""Stand-in for a model engine with a streaming, OpenAI-style HTTP API."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable
from typing import Any

import falcon
import orjson
from falcon import asgi

from ..utils import Address
from .batch import Batch, EngineProfile, EngineStream
from .http_standin import HttpStandIn
from .stream_events import (
    parse_stream_request,
    read_stream,
    wait_while_paused,
)

__all__ = ['EngineStandIn']

_EXIT_STATUS = 9
_CONFLICT_STATUS = 409
_REPORT_INTERVAL_S = 0.5
_DELAYED_CACHE_EVENTS = 3
_DROPPED_CACHE_EVENT_INTERVAL = 10


def _exit_process() -> None:
    os._exit(_EXIT_STATUS)


class EngineStandIn(HttpStandIn):
    """
    Simulated model engine for tests and demonstrations.

    :param model: name of the served model.
    :param profile: performance and injected faults.
    :param address: address to listen on.
    :param terminate: called for the fault ``die``; exits the process by
        default.
    """

    def __init__(
        self,
        model: str,
        profile: EngineProfile,
        address: Address,
        terminate: Callable[[], None] = _exit_process,
    ) -> None:
        super().__init__(address)
        self.model = model
        self.profile = profile
        self.batch = Batch(profile)
        self.fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self._terminate = terminate
        self._load_report: dict[str, Any] = {}
        self._random = random.Random(model)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the server, the batch loop and the load report."""
        await super().start()
        self._tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self._report_load()),
        ]

    async def stop(self) -> None:
        """Stop immediately, as a process crash does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().stop()

    async def on_get_load(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return the latest periodic load report, which may be outdated."""
        await wait_while_paused(self.profile)
        response.media = self._load_report

    async def on_get_models(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return the model with its version in the field ``owned_by``."""
        response.media = {
            'object': 'list',
            'data': [
                {
                    'id': self.model,
                    'object': 'model',
                    'owned_by': self.profile.version,
                }
            ],
        }

    async def on_get_cache_events(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Return cache events with the flaws of an unreliable event stream.

        The latest three events are delayed, and one in ten is missing.
        """
        since = request.get_param_as_int('since', default=0)
        visible = self.batch.cache_events[since:-_DELAYED_CACHE_EVENTS]
        response.media = {
            'events': [
                {'number': event.number, 'prompt_key': event.prompt_key}
                for event in visible
                if event.number % _DROPPED_CACHE_EVENT_INTERVAL
            ]
        }

    async def on_post_completions(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Start a stream, or continue one after a prefix of accepted tokens."""
        await wait_while_paused(self.profile)
        body = orjson.loads(await request.stream.read())
        if self._should_reject():
            raise falcon.HTTPServiceUnavailable
        version = body.get('version', self.profile.version)
        if version != self.profile.version:
            raise falcon.HTTPConflict(title='the engine runs another version')
        stream = self.batch.add(parse_stream_request(body))
        self._send_stream(response, stream, stream.first_offset)

    async def on_get_stream(
        self,
        request: asgi.Request,
        response: asgi.Response,
        stream_id: str,
    ) -> None:
        """Resume reading a stream at a token offset."""
        await wait_while_paused(self.profile)
        stream = self.batch.streams_by_id.get(stream_id)
        offset = request.get_param_as_int('offset', default=0)
        if stream is None or offset < stream.first_offset:
            raise falcon.HTTPNotFound
        self._send_stream(response, stream, offset)

    async def on_delete_stream(
        self,
        request: asgi.Request,
        response: asgi.Response,
        stream_id: str,
    ) -> None:
        """Cancel a stream and return whether it existed."""
        response.media = {'cancelled': self.batch.cancel(stream_id)}

    async def on_post_orders(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Accept an order, or reject it if its fencing number is outdated."""
        order = orjson.loads(await request.stream.read())
        if order['fencing'] < self.fencing_number:
            response.status = _CONFLICT_STATUS
            response.media = {'fencing': self.fencing_number}
            return
        self.fencing_number = order['fencing']
        self.orders.append(order)
        if order['kind'] == 'load_version':
            self.profile.version = order['version']
        response.media = {'accepted': True}

    async def on_post_faults(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Inject faults: ``die``, ``pause_s`` or any field of the profile."""
        faults = orjson.loads(await request.stream.read())
        loop = asyncio.get_running_loop()
        if faults.pop('die', False):
            loop.call_soon(self._terminate)
        pause_s = faults.pop('pause_s', 0)
        if pause_s:
            self.profile.paused_until_s = loop.time() + pause_s
        for name, setting in faults.items():
            setattr(self.profile, name, setting)
        response.media = {
            'tokens_computed': self.batch.tokens_computed,
            'streams': len(self.batch.streams_by_id),
            'running': self.batch.running,
        }

    def _should_reject(self) -> bool:
        fails = self._random.random() < self.profile.fail_share
        return self.profile.refuses or fails

    def _send_stream(
        self,
        response: asgi.Response,
        stream: EngineStream,
        offset: int,
    ) -> None:
        response.content_type = 'text/event-stream'
        response.stream = read_stream(stream, offset, self.profile)

    async def _report_load(self) -> None:
        while True:
            self._load_report = {
                'running': self.batch.running,
                'capacity': self.profile.capacity,
                'version': self.profile.version,
            }
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _make_app(self) -> asgi.App[Any, Any]:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/load', self, suffix='load')
        app.add_route('/v1/models', self, suffix='models')
        app.add_route('/cache_events', self, suffix='cache_events')
        app.add_route('/v1/completions', self, suffix='completions')
        app.add_route('/v1/streams/{stream_id}', self, suffix='stream')
        app.add_route('/v1/orders', self, suffix='orders')
        app.add_route('/standin/faults', self, suffix='faults')
        return app
