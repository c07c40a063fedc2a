"""Messages for the replication of the store's keys between daemons."""

import dataclasses
import zlib

from ..store import StoredEntry, StoreRevision

__all__ = ['FetchReplica', 'ReplicaAnswer', 'ReplicaEntry']

#: Fastest level of zlib.
_COMPRESSION_LEVEL = 1
#: Limit of a decompressed payload, well above the largest value that the
#: store accepts.
_MAX_PAYLOAD_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ReplicaEntry:
    """
    Replicated entry of the store.

    :param key: key of the entry.
    :param payload: value of the entry, compressed by zlib.
    :param revision: store revision of the last write to the key.
    :param is_removed: whether that write removed the key.
    """

    key: str
    payload: bytes
    revision: StoreRevision
    is_removed: bool

    @classmethod
    def from_stored(cls, entry: StoredEntry) -> 'ReplicaEntry':
        """Return the message for an entry, with a compressed payload."""
        compressed = zlib.compress(entry.payload, _COMPRESSION_LEVEL)
        return cls(entry.key, compressed, entry.revision, entry.is_removed)

    def to_stored(self) -> StoredEntry:
        """
        Return the entry with its payload decompressed.

        A payload is truncated at 16 MiB.

        :raises zlib.error: the payload is not zlib data.
        """
        payload = zlib.decompressobj().decompress(
            self.payload, _MAX_PAYLOAD_BYTES
        )
        return StoredEntry(self.key, payload, self.revision, self.is_removed)


@dataclasses.dataclass(frozen=True)
class FetchReplica:
    """
    Request for changed keys, from a daemon that does not follow the store.

    :param after: last revision that the requesting daemon has.
    :param wait_s: seconds to wait for a change if there is none yet.
    :param configuration_version: version of the configuration in force on the
        requesting daemon, 0 for none.
    """

    after: StoreRevision
    wait_s: float = 0
    configuration_version: int = 0


@dataclasses.dataclass(frozen=True)
class ReplicaAnswer:
    """
    Answer to :class:`FetchReplica`.

    :param entries: changed keys, each with its newest entry; or all existing
        keys.
    :param revision: last revision that the answering daemon has.
    :param is_snapshot: whether the entries are all existing keys, because the
        changes since the requested revision are not known completely.
    :param is_store_reachable: whether the answering daemon can reach the store.
    :param configuration: configuration in force on the answering daemon, if
        it has a higher version than the requesting daemon's.  It may be of an
        earlier era than the other entries.
    :param confirmed_after_s: time at which the store last confirmed all this,
        in seconds after the request arrived, so negative if it was before;
        ``None`` if the answering daemon does not tell.
    """

    entries: tuple[ReplicaEntry, ...]
    revision: StoreRevision
    is_snapshot: bool = False
    is_store_reachable: bool = False
    configuration: ReplicaEntry | None = None
    confirmed_after_s: float | None = None
