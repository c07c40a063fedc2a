"""Interfaces of the platform's key-value service and host list."""

from .interfaces import (
    Changes,
    HostList,
    KeyValueStore,
    ListedHost,
    Mutation,
    Snapshot,
    StoredEntry,
)
from .revision import StoreRevision

__all__ = [
    'Changes',
    'HostList',
    'KeyValueStore',
    'ListedHost',
    'Mutation',
    'Snapshot',
    'StoreRevision',
    'StoredEntry',
]
