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

__all__ = [
    'Changes',
    'HostList',
    'KeyValueStore',
    'ListedHost',
    'Mutation',
    'Snapshot',
    'StoredEntry',
]
