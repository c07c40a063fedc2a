"""Messages by which daemons hand keys of the store on."""

import dataclasses
import zlib

from ..store import StoredEntry

__all__ = ['FetchReplica', 'ReplicaAnswer', 'ReplicaEntry']

_FAST = 1
#: Largest value that the store keeps, with room to spare.
_MAX_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ReplicaEntry:
    """
    A key as a daemon knows it.

    :param key: the key.
    :param payload: the bytes kept under it, packed by zlib.
    :param revision: store revision of the last change.
    :param is_removed: whether that change removed the key.
    """

    key: str
    payload: bytes
    revision: int
    is_removed: bool

    @classmethod
    def from_stored(cls, entry: StoredEntry) -> 'ReplicaEntry':
        """Build the message of an entry."""
        packed = zlib.compress(entry.payload, _FAST)
        return cls(entry.key, packed, entry.mod_revision, entry.is_removed)

    def to_stored(self) -> StoredEntry:
        """Return the entry."""
        payload = zlib.decompressobj().decompress(self.payload, _MAX_BYTES)
        return StoredEntry(self.key, payload, self.revision, self.is_removed)


@dataclasses.dataclass(frozen=True)
class FetchReplica:
    """
    Question for keys that changed, asked by who does not follow the store.

    :param above: revision up to which the asker knows them.
    :param wait_s: seconds to wait for changes if there are none.
    """

    above: int
    wait_s: float = 0


@dataclasses.dataclass(frozen=True)
class ReplicaAnswer:
    """
    Keys that changed since.

    :param entries: the keys, each with its last change.
    :param is_store_reached: whether the store answers who tells this.
    """

    entries: tuple[ReplicaEntry, ...]
    is_store_reached: bool = False
