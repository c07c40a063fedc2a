"""Client for the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from ..utils import Address, BronzesillError, ResultCode
from .interfaces import Mutation, StoredEntry

__all__ = ['EtcdStore']

_CALL_TIMEOUT_S = 2.0
_HTTP_OK = 200


class EtcdStore:
    """
    Key-value service reached through the published JSON gateway.

    :param session: HTTP session, owned by the caller.
    :param address: where the service listens.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: Address
    ) -> None:
        self._session = session
        self._url = f'{address.url}/v3'

    async def get(self, key: str) -> StoredEntry | None:
        """Read one key."""
        entries = await self._range({'key': _encode(key.encode())})
        return entries[0] if entries else None

    async def list(self, prefix: str) -> tuple[StoredEntry, ...]:
        """Read all keys below a prefix, in key order."""
        return await self._range(_prefix_range(prefix))

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
        compare = {
            'key': _encode(key.encode()),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_mod_revision),
        }
        operations = [_operation(mutation) for mutation in mutations]
        reply = await self._call(
            'kv/txn', {'compare': [compare], 'success': operations}
        )
        if not reply.get('succeeded', False):
            return None
        return int(reply['header']['revision'])

    async def grant_lease(self, ttl_s: int) -> int:
        """Open a lease and return its number."""
        reply = await self._call('lease/grant', {'TTL': str(ttl_s)})
        return int(reply['ID'])

    async def keep_lease(self, lease_id: int) -> bool:
        """Renew a lease; false if it has lapsed."""
        reply = await self._call('lease/keepalive', {'ID': str(lease_id)})
        return int(reply.get('result', {}).get('TTL', 0)) > 0

    async def watch(self, prefix: str) -> AsyncIterator[StoredEntry]:
        """Yield writes below a prefix until the connection ends."""
        request = {'create_request': _prefix_range(prefix)}
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CALL_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f'{self._url}/watch', json=request, timeout=timeout
            ) as response:
                async for entry in _read_watch(response.content):
                    yield entry
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _unavailable(error) from error

    async def _range(self, request: dict[str, Any]) -> tuple[StoredEntry, ...]:
        reply = await self._call('kv/range', request)
        return tuple(_entry(raw) for raw in reply.get('kvs', ()))

    async def _call(self, path: str, request: dict[str, Any]) -> Any:
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                f'{self._url}/{path}', json=request, timeout=timeout
            ) as response:
                if response.status != _HTTP_OK:
                    raise _refused(response.status)
                return orjson.loads(await response.read())
        except aiohttp.ClientConnectorError as error:
            raise _unavailable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise BronzesillError(
                ResultCode.STORE_ANSWER_LOST,
                f'store did not answer: {type(error).__name__}',
            ) from error


def _refused(status: int) -> BronzesillError:
    return BronzesillError(
        ResultCode.STORE_UNAVAILABLE, f'store refused with status {status}'
    )


def _unavailable(error: BaseException) -> BronzesillError:
    return BronzesillError(
        ResultCode.STORE_UNAVAILABLE,
        f'store not reached: {type(error).__name__}',
    )


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    first = prefix.encode()
    after_last = first[:-1] + bytes((first[-1] + 1,))
    return {'key': _encode(first), 'range_end': _encode(after_last)}


def _operation(mutation: Mutation) -> dict[str, Any]:
    key = _encode(mutation.key.encode())
    if mutation.payload is None:
        return {'requestDeleteRange': {'key': key}}
    put = {'key': key, 'value': _encode(mutation.payload)}
    if mutation.lease_id:
        put['lease'] = str(mutation.lease_id)
    return {'requestPut': put}


def _entry(raw: dict[str, str]) -> StoredEntry:
    return StoredEntry(
        key=base64.b64decode(raw['key']).decode(),
        payload=base64.b64decode(raw.get('value', '')),
        mod_revision=int(raw.get('mod_revision', '0')),
    )


async def _read_watch(
    stream: aiohttp.StreamReader,
) -> AsyncIterator[StoredEntry]:
    async for line in stream:
        reply = orjson.loads(line).get('result', {})
        for event in reply.get('events', ()):
            if event.get('type', 'PUT') == 'PUT':
                yield _entry(event['kv'])
