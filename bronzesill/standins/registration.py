"""Registration of a worker stand-in in the store, renewed by heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, TypeAlias

import orjson

from ..platform.servers import SERVER_PREFIX
from ..platform.store import PlatformStore
from ..store import Lease, Mutation
from ..utils import Address, BronzesillError

__all__ = ['maintain_registration']

_HEARTBEAT_INTERVAL_S = 0.4
_LEASE_TTL_S = 1.2

#: Returns the registration without its number, none while the worker does not
#: write to the store.
Describe: TypeAlias = Callable[[], dict[str, Any] | None]


async def maintain_registration(
    address: Address, name: str, describe: Describe
) -> None:
    """
    Register a worker and renew its lease until cancelled.

    :param address: address of the store.
    :param name: id of the worker on the platform.
    :param describe: returns what the worker says of itself.
    """
    with contextlib.closing(PlatformStore(address)) as store:
        lease: Lease | None = None
        sequence = 0
        while True:
            registration = describe()
            if registration is not None:
                sequence += 1
                registration['sequence'] = sequence
                lease = await _renew(store, name, lease, registration)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)


async def _renew(
    store: PlatformStore,
    name: str,
    lease: Lease | None,
    registration: dict[str, Any],
) -> Lease | None:
    """Return the lease of the registration, none if the store failed."""
    try:
        return await _write(store, name, lease, registration)
    except BronzesillError:
        return None


async def _write(
    store: PlatformStore,
    name: str,
    lease: Lease | None,
    registration: dict[str, Any],
) -> Lease:
    is_kept = lease is not None and await store.renew_lease(lease)
    if lease is None or not is_kept:
        lease = await store.grant_lease(_LEASE_TTL_S)
    key = f'{SERVER_PREFIX}{name}'
    existing = await store.get(key)
    is_known = existing and _says_the_same(existing.payload, registration)
    if is_kept and is_known:
        return lease
    await store.compare_and_swap(
        key,
        existing.revision if existing else None,
        (Mutation(key, orjson.dumps(registration), lease),),
    )
    return lease


def _says_the_same(payload: bytes, registration: dict[str, Any]) -> bool:
    stored = orjson.loads(payload)
    return {**stored, 'sequence': 0} == {**registration, 'sequence': 0}
