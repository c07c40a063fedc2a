"""Stand-in for a backend server on the platform, an engine or a plain one."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import falcon
import orjson
from falcon import asgi

from ..gateway import ReceiveKeeper, read_body, watch_disconnect
from ..platform import SERVER_PREFIX, PlatformStore
from ..store import Mutation
from ..utils import Address, BronzesillError, stable_hash
from .served import ServedStandIn

__all__ = ['WorkerPlan', 'WorkerStandIn', 'expected_events']

_HEARTBEAT_S = 0.4
_LEASE_S = 1.2
_MS_PER_S = 1000
_COPY_TIMEOUT_S = 1.0
_MEMORY_TOKENS = 88_000


@dataclasses.dataclass(frozen=True)
class WorkerPlan:
    """
    What a worker is and how it behaves.

    :param name: its id on the platform.
    :param service: service it belongs to.
    :param failure_domain: failure domain it stands in.
    :param is_engine: whether it answers by streams of events.
    :param events: events of a whole answer.
    :param pace_s: seconds between two events.
    :param reading_s: seconds to the first event without a copy.
    :param slots: requests it runs at once.
    :param failures: requests that it answers 500, before all goes well.
    :param version: version of its software.
    """

    name: str
    service: str
    failure_domain: str = 'a'
    is_engine: bool = False
    events: int = 40
    pace_s: float = 0.005
    reading_s: float = 0.02
    slots: int = 12
    failures: int = 0
    version: str = 'v1'


def expected_events(body: bytes, count: int) -> bytes:
    """Return the whole answer to a body, whoever computes it."""
    return b''.join(_event(body, number) for number in range(1, count + 1))


class WorkerStandIn(ServedStandIn):
    """
    A worker that lists itself in the store and answers requests.

    :param plan: what it is.
    :param address: where it listens.
    :param store: address of the store.
    """

    def __init__(
        self, plan: WorkerPlan, address: Address, store: Address
    ) -> None:
        super().__init__(address)
        self.plan = plan
        #: Requests run so far by their id.
        self.runs_by_id: Counter[str] = Counter()
        #: Headers of each request that came, in lower case.
        self.headers_seen: list[dict[str, str]] = []
        #: Targets of the requests that came, byte for byte.
        self.targets_seen: list[bytes] = []
        #: Ids of runs whose memory is kept here for others.
        self.copies: set[str] = set()
        self.cancelled = 0
        self.is_leaving = False
        self._store_address = store
        self._started_at_ms = int(time.time() * _MS_PER_S)
        self._failures_left = plan.failures
        self._running = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to serve and to list itself."""
        await super().start()
        self._task = asyncio.create_task(self._keep_listed())

    async def stop(self) -> None:
        """End at once, as a crash would."""
        if self._task is not None:
            self._task.cancel()
        await super().stop()

    async def on_request(
        self, req: asgi.Request, resp: asgi.Response | None, **_: Any
    ) -> None:
        """Answer any request."""
        if resp is None:
            return
        body = await read_body(req)
        headers = {
            name.decode(): text.decode('latin-1')
            for name, text in req.scope['headers']
        }
        self.headers_seen.append(headers)
        self.targets_seen.append(req.scope['bronzesill.target'])
        request_id = headers.get('x-attempt-id', '')
        if not self._admit(headers, request_id, resp):
            return
        self.runs_by_id[request_id] += 1
        resp.set_header('X-Server-Signature', f'{self.plan.name}.{request_id}')
        if self._failures_left:
            self._failures_left -= 1
            resp.status = falcon.HTTP_500
            resp.text = 'failed'
        elif self.plan.is_engine:
            resp.content_type = 'text/event-stream'
            left = asyncio.Event()
            watch_disconnect(req, left.set)
            resp.stream = self._stream(headers, body, request_id, left)
        else:
            resp.text = f'{self.plan.name} did {req.method} {len(body)}'

    async def on_post_copy(
        self, req: asgi.Request, resp: asgi.Response, run_id: str
    ) -> None:
        """Take a copy of another worker's run."""
        self.copies.add(run_id)
        resp.status = falcon.HTTP_204

    async def on_get_health(
        self, req: asgi.Request, resp: asgi.Response
    ) -> None:
        """Say which worker this is."""
        resp.set_header('X-Instance-Id', self.plan.name)

    async def on_get_report(
        self, req: asgi.Request, resp: asgi.Response
    ) -> None:
        """Report the state."""
        resp.media = {
            'phase': 'prefill_decode',
            'models': [],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': self._running,
            'kvUsed': 0,
            'kvTotal': _MEMORY_TOKENS,
            'born': self._started_at_ms,
            'runs': [],
        }

    def _admit(
        self, headers: dict[str, str], request_id: str, resp: asgi.Response
    ) -> bool:
        resp.set_header('X-Attempt-Id', request_id)
        resp.set_header(
            'X-Instance-Load', f'{self._running},0,{self.plan.slots}'
        )
        if headers.get('x-target-instance') != self.plan.name:
            resp.status = falcon.HTTP_421
            resp.set_header('X-Instance-Id', self.plan.name)
            return False
        if self._running >= self.plan.slots or not self._has_copy(headers):
            resp.status = falcon.HTTP_503
            resp.set_header('X-Not-Executed', '1')
            return False
        return True

    def _has_copy(self, headers: dict[str, str]) -> bool:
        wanted = headers.get('kv-from')
        if wanted is None:
            return True
        return wanted.rpartition('/')[2] in self.copies

    async def _stream(
        self,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        left: asyncio.Event,
    ) -> AsyncIterator[bytes]:
        first = int(headers.get('last-event-id', '0')) + 1
        self._running += 1
        try:
            if 'kv-from' not in headers:
                await asyncio.sleep(self.plan.reading_s)
            await self._hand_copy(headers, request_id)
            for number in range(first, self.plan.events + 1):
                if left.is_set():
                    self.cancelled += 1
                    break
                yield _event(body, number)
                await asyncio.sleep(self.plan.pace_s)
        finally:
            self._running -= 1

    async def _hand_copy(
        self, headers: dict[str, str], request_id: str
    ) -> None:
        holder = headers.get('x-kv-backup')
        if holder is None:
            return
        timeout = aiohttp.ClientTimeout(total=_COPY_TIMEOUT_S)
        url = f'http://{holder}/standin/copies/{request_id}'
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                await session.post(url)
            except (aiohttp.ClientError, TimeoutError):
                return

    async def _keep_listed(self) -> None:
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, self._store_address)
            lease_id = 0
            sequence = 0
            while True:
                sequence += 1
                try:
                    lease_id = await self._list_once(store, lease_id, sequence)
                except BronzesillError:
                    lease_id = 0
                await asyncio.sleep(_HEARTBEAT_S)

    async def _list_once(
        self, store: PlatformStore, lease_id: int, sequence: int
    ) -> int:
        if not lease_id or not await store.keep_lease(lease_id):
            lease_id = await store.grant_lease(_LEASE_S)
        key = f'{SERVER_PREFIX}{self.plan.name}'
        known = await store.get(key)
        revision = known.mod_revision if known else 0
        entry = orjson.dumps(self._entry(sequence))
        await store.compare_and_swap(
            key, revision, (Mutation(key, entry, lease_id),)
        )
        return lease_id

    def _entry(self, sequence: int) -> dict[str, Any]:
        return {
            'service': self.plan.service,
            'address': str(self.address),
            'zone': self.plan.failure_domain,
            'version': self.plan.version,
            'slots': self.plan.slots,
            'state': 'draining' if self.is_leaving else 'ready',
            'coldRemainingMs': 0,
            'sequence': sequence,
            'born': self._started_at_ms,
        }

    def _make_app(self) -> ReceiveKeeper:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/standin/copies/{run_id}', self, suffix='copy')
        app.add_route('/healthz', self, suffix='health')
        app.add_route('/v1/report', self, suffix='report')
        app.add_sink(self.on_request, '/')
        return ReceiveKeeper(app)


def _event(body: bytes, number: int) -> bytes:
    token = stable_hash(body.decode('latin-1'), str(number))
    return b'id: %d\ndata: %x\n\n' % (number, token)
