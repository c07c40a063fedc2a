"""Stand-in for the platform's key-value store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import Any

import falcon
import orjson
from falcon import asgi

from ..utils import Address
from .http_standin import HttpStandIn
from .store_state import Item, Lease, StoreCopy, StoreFaults, StoreState

__all__ = ['StoreStandIn']

_LOST_RESPONSE_DELAY_S = 30.0
_MS_PER_S = 1000
_MAX_ITEMS_PER_PAGE = 500
_EXPIRY_INTERVAL_S = 0.2

_NOT_FOUND = 404
_HISTORY_GONE = 410
_CONDITION_FAILED = 412


class StoreStandIn(HttpStandIn):
    """
    In-memory key-value store for tests and demonstrations.

    :param address: address to listen on.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.state = StoreState()
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server and the periodic expiry of leases."""
        await super().start()
        self._expiry_task = asyncio.create_task(self._run_expiry())

    async def stop(self) -> None:
        """Abort all connections immediately and stop the expiry of leases."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        await super().stop()

    async def on_get_key(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return one item, or 404 if the key does not exist."""
        await self._admit()
        self.state.reads += 1
        item = self.state.items_by_key.get(request.get_param('key') or '')
        at_revision = {'atRevision': self.state.revision}
        if item is None:
            response.status = _NOT_FOUND
            response.media = at_revision
            return
        response.media = {**_item_document(item), **at_revision}

    async def on_get_range(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return one page of the items below a prefix, in key order."""
        await self._admit()
        self.state.reads += 1
        after = request.get_param('after') or ''
        items = [
            item
            for item in self.state.items_below(
                request.get_param('prefix') or ''
            )
            if item.key > after
        ]
        response.media = {
            'entries': [
                _item_document(item) for item in items[:_MAX_ITEMS_PER_PAGE]
            ],
            'hasMore': len(items) > _MAX_ITEMS_PER_PAGE,
            'atRevision': self.state.revision,
        }

    async def on_get_watch(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Return the changes below a prefix after a revision (long polling).

        Waits up to ``waitMs`` for the first change.  The status is 410 if
        the history after the revision has been compacted, or the revision
        has not been reached.
        """
        await self._admit()
        self.state.reads += 1
        prefix = request.get_param('prefix') or ''
        after = request.get_param_as_int('after') or 0
        wait_s = (request.get_param_as_int('waitMs') or 0) / _MS_PER_S
        is_unknown = after > self.state.revision
        if is_unknown or after < self.state.compacted_revision:
            response.status = _HISTORY_GONE
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wait_for_change(prefix, after)
        self._raise_if_down()
        changes = self.state.changes_since(prefix, after)
        response.media = {
            'events': [_item_document(item) for item in changes],
            'atRevision': self.state.revision,
        }

    async def on_post_txn(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Write and remove keys atomically if all expected revisions match.

        The status is 412 with the current items if a revision differs, and
        404 if a lease does not exist.
        """
        body = await _read_body(request)
        await self._admit()
        self.state.writes += 1
        expected = body.get('expectedRevision', ())
        if any(
            self.state.revision_of(row['key']) != row['revision']
            for row in expected
        ):
            response.status = _CONDITION_FAILED
            response.media = {'entries': self._current_items(expected)}
            return
        writes = body.get('write', ())
        leases = {write.get('leaseId', 0) for write in writes} - {0}
        if not leases <= self.state.leases_by_id.keys():
            response.status = _NOT_FOUND
            return
        self.state.revision += 1
        for write in writes:
            lease_id = write.get('leaseId', 0)
            self.state.write(write['key'], write['value'], lease_id)
        for key in body.get('remove', ()):
            self.state.remove(key)
        response.media = {'revision': self.state.revision}
        await self._notify_watchers()
        await self._delay_lost_response()

    async def on_post_lease(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Grant a lease, whose id is the new revision of the store."""
        body = await _read_body(request)
        await self._admit()
        self.state.writes += 1
        ttl_s = float(body['ttlMs']) / _MS_PER_S
        self.state.revision += 1
        lease_id = self.state.revision
        self.state.leases_by_id[lease_id] = Lease(ttl_s, _now_s() + ttl_s)
        response.media = {'leaseId': lease_id, 'ttlMs': body['ttlMs']}

    async def on_post_keep(
        self, request: asgi.Request, response: asgi.Response, lease_id: int
    ) -> None:
        """Renew a lease and return its TTL, or 404 if it has expired."""
        await self._admit()
        self.state.reads += 1
        ttl_s = self.state.renew(lease_id, _now_s())
        response.media = {'ttlMs': int(ttl_s * _MS_PER_S)}
        if not ttl_s:
            response.status = _NOT_FOUND

    async def on_delete_end(
        self, request: asgi.Request, response: asgi.Response, lease_id: int
    ) -> None:
        """Revoke a lease and remove the keys attached to it."""
        await self._admit()
        self.state.writes += 1
        self.state.revoke_leases({lease_id})
        await self._notify_watchers()
        response.media = {}

    async def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy; waiting watches are cut."""
        self.state.faults.down = True
        await self._notify_watchers()
        # The cut watches answer before the store is back.
        await asyncio.sleep(_EXPIRY_INTERVAL_S)
        self.state.restore(copy, _now_s())
        self.state.faults.down = False

    async def on_post_faults(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Inject faults and return the number of reads and writes so far."""
        faults = await _read_body(request)
        current = dataclasses.asdict(self.state.faults)
        self.state.faults = StoreFaults(**{**current, **faults})
        await self._notify_watchers()
        response.media = {
            'reads': self.state.reads,
            'writes': self.state.writes,
        }

    async def _admit(self) -> None:
        await asyncio.sleep(self.state.faults.delay_s)
        self._raise_if_down()
        if self.state.exceeds_rate(_now_s()):
            raise falcon.HTTPTooManyRequests
        self.state.expire(_now_s())

    def _raise_if_down(self) -> None:
        if self.state.faults.down:
            raise falcon.HTTPServiceUnavailable

    async def _delay_lost_response(self) -> None:
        if self.state.faults.lose_answers:
            self.state.faults.lose_answers -= 1
            await asyncio.sleep(_LOST_RESPONSE_DELAY_S)

    async def _wait_for_change(self, prefix: str, after: int) -> None:
        async with self.state.changed:
            await self.state.changed.wait_for(
                lambda: (
                    self.state.faults.down
                    or self.state.changes_since(prefix, after)
                )
            )

    async def _notify_watchers(self) -> None:
        async with self.state.changed:
            self.state.changed.notify_all()

    async def _run_expiry(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            old_revision = self.state.revision
            self.state.expire(_now_s())
            if self.state.revision > old_revision:
                await self._notify_watchers()

    def _current_items(self, expected: Any) -> list[dict[str, Any]]:
        items = (self.state.items_by_key.get(row['key']) for row in expected)
        return [_item_document(item) for item in items if item is not None]

    def _make_app(self) -> asgi.App[Any, Any]:
        app: asgi.App[Any, Any] = asgi.App(middleware=[_EraHeader(self.state)])
        app.add_route('/v1/kv-key', self, suffix='key')
        app.add_route('/v1/kv-range', self, suffix='range')
        app.add_route('/v1/kv-watch', self, suffix='watch')
        app.add_route('/v1/kv-txn', self, suffix='txn')
        app.add_route('/v1/kv-lease', self, suffix='lease')
        app.add_route('/v1/kv-keep/{lease_id:int}', self, suffix='keep')
        app.add_route('/v1/kv-lease-end/{lease_id:int}', self, suffix='end')
        app.add_route('/standin/faults', self, suffix='faults')
        return app


class _EraHeader:
    """
    Adds the header ``Store-Era`` to all answers.

    :param state: state of the store.
    """

    def __init__(self, state: StoreState) -> None:
        self._state = state

    async def process_response(
        self,
        req: asgi.Request,
        resp: asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Name the era in one answer."""
        resp.set_header('Store-Era', str(self._state.era))


async def _read_body(request: asgi.Request) -> Any:
    return orjson.loads(await request.stream.read())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _item_document(item: Item) -> dict[str, Any]:
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'compacted': True}
    return {
        'key': item.key,
        'value': item.value,
        'revision': item.revision,
        'createdRevision': item.created_revision,
        'leaseId': item.lease_id,
    }
