"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import orjson

from ..store import Changes, Mutation, Snapshot, StoredEntry
from ..utils import Address, BronzesillError, ResultCode

__all__ = ['ALL_KEYS', 'PlatformStore']

#: Prefix of every key: operators', servers' and our own.
ALL_KEYS = ''

_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.5
_WATCH_WAIT_S = 20.0
_WATCH_SLACK_S = 1.0
_MS_PER_S = 1000

_OK = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
_CONDITION_FAILED = 412

#: Statuses that say that nothing was done.
_REFUSALS = frozenset((429, 503))


class PlatformStore:
    """
    Key-value service with leases, conditions and watches.

    Methods raise :class:`~bronzesill.utils.BronzesillError` with
    ``STORE_UNAVAILABLE`` if nothing was done, and ``STORE_ANSWER_LOST`` if a
    write may have taken effect or may do so later.

    :param session: HTTP session, owned by the caller.
    :param address: where the service listens.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: Address
    ) -> None:
        self._session = session
        self._url = f'{address.url}/v1'
        #: Calls made so far by kind, for the metrics.
        self.calls_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> StoredEntry | None:
        """Read one key."""
        reply = await self._call('GET', 'kv-key', query={'key': key})
        if reply.status == _NOT_FOUND:
            return None
        return _entry(reply.require(_OK))

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        """Read all keys below a prefix, in key order."""
        found = await self.snapshot(prefix, is_stale_fine=False)
        return found.entries

    async def snapshot(self, prefix: str, *, is_stale_fine: bool) -> Snapshot:
        """Read all keys below a prefix, page by page."""
        query = {'prefix': prefix}
        if is_stale_fine:
            query['staleRead'] = '1'
        entries: list[StoredEntry] = []
        first_revision = 0
        while True:
            reply = await self._call('GET', 'kv-range', query=query)
            page = reply.require(_OK)
            entries.extend(_entry(raw) for raw in page['entries'])
            # Pages are no snapshot: changes are followed from the first one.
            first_revision = first_revision or int(page['atRevision'])
            if not page['hasMore']:
                return Snapshot(tuple(entries), first_revision)
            query['after'] = entries[-1].key

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes:
        """Wait for writes below a prefix."""
        reply = await self._call(
            'GET',
            'kv-watch',
            query={
                'prefix': prefix,
                'after': str(after_revision),
                'waitMs': str(int(wait_s * _MS_PER_S)),
            },
            wait_s=wait_s,
        )
        if reply.status == _HISTORY_GONE:
            return Changes((), after_revision, is_gap=True)
        found = reply.require(_OK)
        entries = tuple(_entry(raw) for raw in found['events'])
        return Changes(entries, int(found['atRevision']))

    async def compare_and_swap(
        self,
        key: str,
        expected_mod_revision: int,
        mutations: tuple[Mutation, ...],
    ) -> int | None:
        """
        Apply all mutations if ``key`` is at the expected revision.

        :returns: store revision of the write, none if it was not made.
        """
        condition = {'key': key, 'revision': expected_mod_revision}
        body = {
            'expectedRevision': [condition],
            'write': [
                _write(mutation, mutation.payload)
                for mutation in mutations
                if mutation.payload is not None
            ],
            'remove': [
                mutation.key
                for mutation in mutations
                if mutation.payload is None
            ],
        }
        reply = await self._call('POST', 'kv-txn', body=body)
        if reply.status in {_CONDITION_FAILED, _NOT_FOUND}:
            return None
        return int(reply.require(_OK)['revision'])

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease and return its number."""
        ttl_ms = int(ttl_s * _MS_PER_S)
        reply = await self._call('POST', 'kv-lease', body={'ttlMs': ttl_ms})
        return int(reply.require(_OK)['leaseId'])

    async def keep_lease(self, lease_id: int) -> bool:
        """Renew a lease; false if it has lapsed."""
        reply = await self._call('POST', f'kv-keep/{lease_id}')
        if reply.status == _NOT_FOUND:
            return False
        reply.require(_OK)
        return True

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._call('DELETE', f'kv-lease-end/{lease_id}')

    async def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        """Yield writes below a prefix; ends when some may be missing."""
        found = await self.snapshot(prefix, is_stale_fine=False)
        revision = found.revision
        while True:
            changed = await self.changes(prefix, revision, _WATCH_WAIT_S)
            if changed.is_gap:
                return
            revision = changed.revision
            for entry in changed.entries:
                if not entry.is_removed:
                    yield entry

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        wait_s: float = 0,
    ) -> _Reply:
        kind = path.partition('/')[0]
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        slack_s = _WATCH_SLACK_S if wait_s else 0
        timeout = aiohttp.ClientTimeout(
            total=_CALL_TIMEOUT_S + wait_s + slack_s,
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.request(
                method,
                f'{self._url}/{path}',
                params=query,
                data=None if body is None else orjson.dumps(body),
                headers={'Content-Type': 'application/json'},
                timeout=timeout,
            ) as response:
                return _Reply(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _unavailable(type(error).__name__) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise BronzesillError(
                ResultCode.STORE_ANSWER_LOST,
                f'store did not answer: {type(error).__name__}',
            ) from error


class _Reply:
    """
    Answer of the service.

    :param status: HTTP status.
    :param payload: bytes of the body.
    """

    def __init__(self, status: int, payload: bytes) -> None:
        self.status = status
        self._payload = payload
        if status in _REFUSALS:
            raise _unavailable(f'status {status}')

    def require(self, status: int) -> Any:
        """
        Return the body if the status is the expected one.

        :raises BronzesillError: it is another one, or not readable.
        """
        if self.status != status:
            raise _unavailable(f'status {self.status}')
        try:
            return orjson.loads(self._payload)
        except orjson.JSONDecodeError as error:
            raise _unavailable('an answer that is not JSON') from error


def _unavailable(detail: str) -> BronzesillError:
    return BronzesillError(
        ResultCode.STORE_UNAVAILABLE, f'store not available: {detail}'
    )


def _write(mutation: Mutation, payload: bytes) -> dict[str, Any]:
    # The field is called `value`; it holds the payload in base64.
    write: dict[str, Any] = {
        'key': mutation.key,
        'value': base64.b64encode(payload).decode(),
    }
    if mutation.lease_id:
        write['leaseId'] = mutation.lease_id
    return write


def _entry(raw: Mapping[str, Any]) -> StoredEntry:
    # `compacted` on a watched event says that the key was removed.
    return StoredEntry(
        key=raw['key'],
        payload=base64.b64decode(raw.get('value', '')),
        mod_revision=int(raw['revision']),
        is_removed=bool(raw.get('compacted', False)),
    )
