"""Stand-in for the key-value service: the etcd v3 JSON gateway."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import falcon
import orjson
from falcon import asgi

from ..utils import Address, HttpServer
from .store_state import Entry, EntryQueue, Lease, StoreFaults, StoreState

__all__ = ['StoreStandIn']

_LOST_ANSWER_S = 30.0


class StoreStandIn:
    """
    A key-value service for tests and demonstrations.

    :param address: where it listens.
    """

    def __init__(self, address: Address) -> None:
        self.state = StoreState()
        self._server = HttpServer(self._make_app, address)

    @property
    def address(self) -> Address:
        """Where the store listens."""
        return self._server.address

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End at once."""
        await self._server.kill()

    async def on_post_range(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Read one key or a range."""
        body = await self._admit(request)
        self.state.reads += 1
        found = self.state.select(
            _decode(body['key']), _decode(body.get('range_end', ''))
        )
        response.media = {
            'header': self._header(),
            'kvs': [_raw_entry(entry) for entry in found],
            'count': str(len(found)),
        }

    async def on_post_txn(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Compare revisions and apply one of two lists of operations."""
        body = await self._admit(request)
        self.state.writes += 1
        succeeded = all(
            self.state.mod_revision(_decode(compare['key']))
            == int(compare['mod_revision'])
            for compare in body.get('compare', ())
        )
        branch = 'success' if succeeded else 'failure'
        operations = body.get(branch, ())
        if operations:
            self.state.revision += 1
        for operation in operations:
            self._apply(operation)
        await self._lose_answer()
        response.media = {'header': self._header(), 'succeeded': succeeded}

    async def on_post_grant(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Open a lease."""
        body = await self._admit(request)
        self.state.writes += 1
        ttl_s = float(body['TTL'])
        self.state.revision += 1
        lease_id = self.state.revision
        self.state.lease_ends_by_id[lease_id] = Lease(ttl_s, _now_s() + ttl_s)
        response.media = {'ID': str(lease_id), 'TTL': str(int(ttl_s))}

    async def on_post_keepalive(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Renew a lease."""
        body = await self._admit(request)
        self.state.writes += 1
        ttl_s = self.state.renew(int(body['ID']), _now_s())
        response.media = {'result': {'ID': body['ID'], 'TTL': str(int(ttl_s))}}

    async def on_post_watch(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Stream the writes below a prefix."""
        body = await self._admit(request)
        self.state.reads += 1
        wanted = body['create_request']
        response.content_type = 'application/json'
        response.stream = self._watch(
            _decode(wanted['key']), _decode(wanted.get('range_end', ''))
        )

    async def on_post_faults(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Set faults and tell the counts of calls so far."""
        faults = orjson.loads(await request.stream.read())
        current = dataclasses.asdict(self.state.faults)
        self.state.faults = StoreFaults(**{**current, **faults})
        response.media = {
            'reads': self.state.reads,
            'writes': self.state.writes,
            'watchers': len(self.state.watchers),
        }

    async def _admit(self, request: asgi.Request) -> Any:
        body = orjson.loads(await request.stream.read())
        await asyncio.sleep(self.state.faults.delay_s)
        if self.state.faults.down or self.state.exceeds_rate(_now_s()):
            raise falcon.HTTPServiceUnavailable
        self.state.expire(_now_s())
        return body

    async def _lose_answer(self) -> None:
        if self.state.faults.lose_answers:
            self.state.faults.lose_answers -= 1
            await asyncio.sleep(_LOST_ANSWER_S)

    def _apply(self, operation: dict[str, Any]) -> None:
        put = operation.get('requestPut')
        if put is None:
            key = _decode(operation['requestDeleteRange']['key'])
            self.state.entries_by_key.pop(key, None)
            return
        entry = Entry(
            key=put['key'],
            payload=put['value'],
            mod_revision=self.state.revision,
            lease_id=int(put.get('lease', 0)),
        )
        self.state.put(_decode(put['key']), entry)

    async def _watch(
        self, first: bytes, after_last: bytes
    ) -> AsyncIterator[bytes]:
        queue: EntryQueue = asyncio.Queue()
        self.state.watchers.add(queue)
        try:
            yield b'{"result":{"created":true}}\n'
            while not self.state.faults.down:
                key, entry = await queue.get()
                if first <= key < after_last:
                    event = {'type': 'PUT', 'kv': _raw_entry(entry)}
                    yield _watch_line(event)
        finally:
            self.state.watchers.discard(queue)

    def _header(self) -> dict[str, str]:
        return {'revision': str(self.state.revision)}

    def _make_app(self) -> asgi.App[Any, Any]:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/v3/kv/range', self, suffix='range')
        app.add_route('/v3/kv/txn', self, suffix='txn')
        app.add_route('/v3/lease/grant', self, suffix='grant')
        app.add_route('/v3/lease/keepalive', self, suffix='keepalive')
        app.add_route('/v3/watch', self, suffix='watch')
        app.add_route('/standin/faults', self, suffix='faults')
        return app


def _watch_line(event: dict[str, Any]) -> bytes:
    return b'%b\n' % orjson.dumps({'result': {'events': [event]}})


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _raw_entry(entry: Entry) -> dict[str, str]:
    return {
        'key': entry.key,
        'value': entry.payload,
        'mod_revision': str(entry.mod_revision),
        'lease': str(entry.lease_id),
    }
