"""What the system asks of a key-value service, whoever provides it."""

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
