"""Interfaces of the platform's key-value service and host list."""

from .guarded import ERA_PREFIX, GuardedStore
from .interfaces import (
    Changes,
    Condition,
    HostList,
    KeyValueStore,
    Lease,
    ListedHost,
    Mutation,
    Snapshot,
    StoredEntry,
    TransactionalStore,
)
from .revision import StoreRevision

__all__ = [
    'ERA_PREFIX',
    'Changes',
    'Condition',
    'GuardedStore',
    'HostList',
    'KeyValueStore',
    'Lease',
    'ListedHost',
    'Mutation',
    'Snapshot',
    'StoreRevision',
    'StoredEntry',
    'TransactionalStore',
]
