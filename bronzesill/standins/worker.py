"""Stand-in for a backend server on the platform, engine or plain service."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import falcon
from falcon import asgi

from ..gateway import ReceiveBufferMiddleware, read_body, watch_disconnect
from ..utils import Address, stable_hash
from .brittle import BrittlePlan, BrittleState
from .http_standin import HttpStandIn
from .registration import maintain_registration

__all__ = ['WorkerPlan', 'WorkerStandIn', 'expected_events']

_MS_PER_S = 1000
_COPY_TIMEOUT_S = 1.0
#: Time within which a crashing worker is stopped.
_CRASH_TIMEOUT_S = 10.0
_CACHE_CAPACITY_TOKENS = 88_000


@dataclasses.dataclass(frozen=True)
class WorkerPlan:
    """
    Description and behaviour of a worker.

    :param name: id of the worker on the platform.
    :param service: service the worker belongs to.
    :param failure_domain: failure domain of the worker.
    :param is_engine: whether responses are streams of events.
    :param events: number of events of a complete response.
    :param pace_s: seconds between two events.
    :param prefill_s: seconds until the first event, skipped if a copy of the
        state is used.
    :param slots: maximum number of concurrent requests.
    :param failures: number of initial requests answered with status 500.
    :param version: software version.
    :param limit_per_s: requests per second that the worker names as its limit
        in its answers, 0 for none.
    :param crashing_part: part of a prompt on which the worker crashes when it
        begins to write an answer, empty for none.
    :param crashing_body: body of a request on which the worker crashes when it
        has worked on it, empty for none.
    :param work_s: seconds of work on a request of a plain service.
    :param brittle: rejections that the worker survives, none for all.
    :param slowdown_percent: slowdown that the worker tells with its load, 100
        as usual; none if it tells none.
    """

    name: str
    service: str
    failure_domain: str = 'a'
    is_engine: bool = False
    events: int = 40
    pace_s: float = 0.005
    prefill_s: float = 0.02
    slots: int = 12
    failures: int = 0
    version: str = 'v1'
    limit_per_s: float = 0
    crashing_part: str = ''
    crashing_body: bytes = b''
    work_s: float = 0
    brittle: BrittlePlan | None = None
    slowdown_percent: int | None = None


def expected_events(body: bytes, count: int) -> bytes:
    """Return the complete response to a body, equal for all workers."""
    return b''.join(_event(body, number) for number in range(1, count + 1))


class WorkerStandIn(HttpStandIn):
    """
    Worker that registers itself in the store and serves requests.

    :param plan: description and behaviour of the worker.
    :param address: address to listen on.
    :param store: address of the store.
    """

    #: Whether answers say that the worker leaves, whatever its entry says.
    says_leaving = False
    #: Text of ``Retry-After`` with which all requests are rejected, empty to
    #: serve them.
    retry_after = ''
    #: Text of ``Keep-Alive``, empty for none.
    keep_alive = ''

    def __init__(
        self, plan: WorkerPlan, address: Address, store: Address
    ) -> None:
        super().__init__(address)
        self.plan = plan
        #: Number of executions by attempt id.
        self.runs_by_id: Counter[str] = Counter()
        #: Headers of each received request, names in lower case.
        self.received_headers: list[dict[str, str]] = []
        #: Unmodified targets of the received requests.
        self.received_targets: list[bytes] = []
        #: Ids of attempts whose state was copied to this worker.
        self.copies: set[str] = set()
        #: Monotonic times in seconds of all requests.
        self.arrivals_s: list[float] = []
        #: Monotonic times in seconds of the requests that crash the worker.
        self.crashing_arrivals_s: list[float] = []
        #: Called when the worker crashes because of a request.
        self.on_crash: Callable[[str], None] = _ignore
        self.has_crashed = False
        #: Requests that the worker rejected.
        self.brittle = BrittleState(plan.brittle)
        self.cancelled = 0
        self.is_leaving = False
        #: Whether the worker has stopped to write to the store.
        self.is_silent = False
        #: Cleared while the worker neither answers nor sends events.
        self.is_answering = asyncio.Event()
        self.is_answering.set()
        self._store_address = store
        self._started_at_ms = int(time.time() * _MS_PER_S)
        self._remaining_failures = plan.failures
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(plan.slots)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server and the registration heartbeat."""
        await super().start()
        self._task = asyncio.create_task(self.maintain_registration())

    async def stop(self) -> None:
        """Stop immediately, as a process crash does."""
        if self._task is not None:
            self._task.cancel()
        await super().stop()

    async def maintain_registration(self) -> None:
        """Register the worker and renew its lease until cancelled."""
        await maintain_registration(
            self._store_address, self.plan.name, self._registration
        )

    async def on_request(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        """Execute a request, unless it has to be rejected."""
        if resp is None:
            return
        body = await read_body(req)
        await self.is_answering.wait()
        headers = _decode_headers(req)
        self.received_targets.append(req.scope['bronzesill.target'])
        self._record_arrival(headers, body)
        request_id = headers.get('x-attempt-id', '')
        if self._admit(headers, request_id, resp):
            await self._run(req, resp, headers, body)

    async def on_post_copy(
        self, req: asgi.Request, resp: asgi.Response, run_id: str
    ) -> None:
        """Accept a copy of the state of an attempt on another worker."""
        self.copies.add(run_id)
        resp.status = falcon.HTTP_204

    async def on_get_health(
        self, req: asgi.Request, resp: asgi.Response
    ) -> None:
        """Respond with the id of the worker in ``X-Instance-Id``."""
        await self.is_answering.wait()
        self._set_notices(resp)
        if self.plan.brittle and not self._has_room():
            self._reject(resp)
            return
        resp.set_header('X-Instance-Id', self.plan.name)

    async def on_get_report(
        self, req: asgi.Request, resp: asgi.Response
    ) -> None:
        """Return the load and capacity of the worker."""
        resp.media = {
            'phase': 'prefill_decode',
            'models': [],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': self._running,
            'kvUsed': 0,
            'kvTotal': _CACHE_CAPACITY_TOKENS,
            'born': self._started_at_ms,
            'runs': [],
        }

    async def _run(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request_id = headers.get('x-attempt-id', '')
        self.runs_by_id[request_id] += 1
        resp.set_header('X-Server-Signature', f'{self.plan.name}.{request_id}')
        if self._remaining_failures:
            self._remaining_failures -= 1
            resp.status = falcon.HTTP_500
            resp.text = 'failed'
        elif self.plan.is_engine:
            resp.content_type = 'text/event-stream'
            disconnected = asyncio.Event()
            watch_disconnect(req, disconnected.set)
            resp.stream = self._stream(headers, body, request_id, disconnected)
        else:
            await self._work(headers, body)
            self._set_load(resp)
            resp.text = f'{self.plan.name} did {req.method} {len(body)}'

    def _admit(
        self, headers: dict[str, str], request_id: str, resp: asgi.Response
    ) -> bool:
        resp.set_header('X-Attempt-Id', request_id)
        self._set_load(resp)
        self._set_notices(resp)
        brittle = self.brittle.name(time.monotonic())
        if brittle:
            resp.set_header('Server-Brittle', brittle)
        if self.plan.limit_per_s:
            resp.set_header('Server-Limit', str(self.plan.limit_per_s))
        if headers.get('x-target-instance') != self.plan.name:
            resp.status = falcon.HTTP_421
            resp.set_header('X-Instance-Id', self.plan.name)
            return False
        if self.retry_after:
            resp.set_header('Retry-After', self.retry_after)
            self._reject(resp)
            return False
        if not self._has_room() or not self._has_copy(headers):
            self._reject(resp)
            return False
        return True

    def _set_notices(self, resp: asgi.Response) -> None:
        if self.keep_alive:
            resp.set_header('Keep-Alive', self.keep_alive)
        if self.says_leaving:
            resp.set_header('Server-Leaving', '1')

    def _set_load(self, resp: asgi.Response) -> None:
        load = f'{self._running},{self._waiting},{self.plan.slots}'
        if self.plan.slowdown_percent is not None:
            load = f'{load},{self.plan.slowdown_percent}'
        resp.set_header('X-Instance-Load', load)

    def _has_room(self) -> bool:
        waiting = self.brittle.waiting(time.monotonic())
        return self._running + self._waiting < self.plan.slots + waiting

    def _reject(self, resp: asgi.Response) -> None:
        resp.status = falcon.HTTP_503
        resp.set_header('X-Not-Executed', '1')
        if self.brittle.rejected(time.monotonic()):
            self.on_crash(self.plan.name)

    def _record_arrival(self, headers: dict[str, str], body: bytes) -> None:
        self.received_headers.append(headers)
        self.arrivals_s.append(time.monotonic())
        if self._is_crashing(headers, body):
            self.crashing_arrivals_s.append(time.monotonic())

    async def _work(self, headers: dict[str, str], body: bytes) -> None:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self.plan.work_s)
            await self._crash_if_due(headers, body)
        finally:
            self._running -= 1
            self._slots.release()

    async def _crash_if_due(self, headers: dict[str, str], body: bytes) -> None:
        if self._is_crashing(headers, body):
            self.on_crash(self.plan.name)
            await asyncio.sleep(_CRASH_TIMEOUT_S)

    def _is_crashing(self, headers: dict[str, str], body: bytes) -> bool:
        if self.plan.crashing_body and body == self.plan.crashing_body:
            return True
        rows = headers.get('x-prefix-hash', '').split(',')
        parts = {row.partition(':')[0] for row in rows}
        return bool(self.plan.crashing_part) and (
            self.plan.crashing_part in parts
        )

    def _has_copy(self, headers: dict[str, str]) -> bool:
        copy_source = headers.get('kv-from')
        if copy_source is None:
            return True
        return copy_source.rpartition('/')[2] in self.copies

    async def _stream(
        self,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        disconnected: asyncio.Event,
    ) -> AsyncIterator[bytes]:
        first = int(headers.get('last-event-id', '0')) + 1
        self._running += 1
        try:
            await self._prefill(headers, request_id)
            await self._crash_if_due(headers, body)
            for number in range(first, self.plan.events + 1):
                if disconnected.is_set():
                    self.cancelled += 1
                    break
                await self.is_answering.wait()
                yield _event(body, number)
                await asyncio.sleep(self.plan.pace_s)
        finally:
            self._running -= 1

    async def _prefill(self, headers: dict[str, str], request_id: str) -> None:
        if 'kv-from' not in headers:
            await asyncio.sleep(self.plan.prefill_s)
        await self._send_copy(headers, request_id)

    async def _send_copy(
        self, headers: dict[str, str], request_id: str
    ) -> None:
        copy_address = headers.get('x-kv-backup')
        if copy_address is None:
            return
        timeout = aiohttp.ClientTimeout(total=_COPY_TIMEOUT_S)
        url = f'http://{copy_address}/standin/copies/{request_id}'
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                await session.post(url)
            except (aiohttp.ClientError, TimeoutError):
                return

    def _registration(self) -> dict[str, Any] | None:
        """Return the registration, none while nothing is written."""
        if self.is_silent:
            return None
        return {
            'service': self.plan.service,
            'address': str(self.address),
            'zone': self.plan.failure_domain,
            'version': self.plan.version,
            'slots': self.plan.slots,
            'state': 'draining' if self.is_leaving else 'ready',
            'coldRemainingMs': 0,
            'born': self._started_at_ms,
        }

    def _make_app(self) -> ReceiveBufferMiddleware:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/standin/copies/{run_id}', self, suffix='copy')
        app.add_route('/healthz', self, suffix='health')
        app.add_route('/v1/report', self, suffix='report')
        app.add_sink(self.on_request, '/')
        return ReceiveBufferMiddleware(app)


def _ignore(name: str) -> None:
    """Ignore a crash; the default callback."""


def _decode_headers(req: asgi.Request) -> dict[str, str]:
    return {
        name.decode(): text.decode('latin-1')
        for name, text in req.scope['headers']
    }


def _event(body: bytes, number: int) -> bytes:
    token = stable_hash(body.decode('latin-1'), str(number))
    return b'id: %d\ndata: %x\n\n' % (number, token)
