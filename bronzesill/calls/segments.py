"""Layout of ledger records in the store: head key, segments and blocks."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgpack

from ..store import Mutation, StoredEntry, StoreRevision
from ..utils import (
    BronzesillError,
    ResultCode,
    structure_fields,
    unstructure_fields,
)
from .ledger import LedgerRecord

__all__ = ['LEDGER_PREFIX', 'Layout', 'Segment', 'plan_write']

LEDGER_PREFIX = '/bronzesill/ledger/'

#: Number of unmerged segments that are merged into a block, and the limit of
#: deletions in one transaction.
_MERGE_THRESHOLD = 48


@dataclasses.dataclass(frozen=True)
class Segment:
    """
    Records that are stored under one key.

    A segment holds the records of one commit; a block is a segment that
    merges several of them.

    :param key: key in the store.
    :param records: the records.
    :param newest_at_s: time of the newest record, seconds since the epoch.
    """

    key: str
    records: tuple[LedgerRecord, ...]
    newest_at_s: float

    @classmethod
    def from_records(
        cls, key: str, records: tuple[LedgerRecord, ...]
    ) -> Segment:
        """Build a segment and derive the time of its newest record."""
        newest_at_s = max((record.at_s for record in records), default=0)
        return cls(key, records, newest_at_s)

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> Segment:
        """
        Parse a segment from its store entry.

        :raises BronzesillError: ``STORE_UNAVAILABLE``, the entry is not a
            valid segment.
        """
        try:
            fields: Any = msgpack.unpackb(entry.payload)
            records = tuple(
                structure_fields(item, LedgerRecord) for item in fields
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            # Without this segment it is unknown which calls ran, so no claim
            # may be granted.
            raise BronzesillError(
                ResultCode.STORE_UNAVAILABLE,
                f'cannot parse ledger segment {entry.key}: {error}',
            ) from error
        return cls.from_records(entry.key, records)

    @property
    def payload(self) -> bytes:
        """The records encoded for the store."""
        fields = [unstructure_fields(record) for record in self.records]
        packed: bytes = msgpack.packb(fields)
        return packed


@dataclasses.dataclass(frozen=True)
class Layout:
    """
    Contents of one partition in the store.

    :param partition: number of the partition.
    :param head_revision: store revision of the head key, none before the
        first write.
    :param next_number: number of the next segment.
    :param segments: all segments, oldest first.
    """

    partition: int
    head_revision: StoreRevision | None = None
    next_number: int = 0
    segments: tuple[Segment, ...] = ()

    @classmethod
    def from_entries(
        cls, partition: int, entries: tuple[StoredEntry, ...]
    ) -> Layout:
        """Build the layout from all store entries of a partition."""
        layout = cls(partition)
        heads = [entry for entry in entries if entry.key == layout.head_key]
        if not heads:
            return layout
        return cls(
            partition=partition,
            head_revision=heads[0].revision,
            next_number=int(heads[0].payload),
            segments=tuple(
                Segment.from_entry(entry)
                for entry in entries
                if entry.key != layout.head_key
            ),
        )

    @property
    def prefix(self) -> str:
        """Prefix of all store keys of the partition."""
        return f'{LEDGER_PREFIX}{self.partition:03d}/'

    @property
    def head_key(self) -> str:
        """Key whose revision each write compares and then replaces."""
        return f'{self.prefix}head'


@dataclasses.dataclass(frozen=True)
class PlannedWrite:
    """
    A planned write to a partition.

    :param mutations: mutations of the transaction.
    :param layout: layout after the write, still with the previous revision
        of the head key.
    """

    mutations: tuple[Mutation, ...]
    layout: Layout


def plan_write(
    layout: Layout, records: tuple[LedgerRecord, ...], cutoff_s: float
) -> PlannedWrite:
    """
    Plan the transaction that adds records to a partition.

    When enough unmerged segments have accumulated, the same transaction
    merges them into a block.  It also deletes expired and merged segments,
    within a limit for each transaction.

    :param layout: current contents of the partition in the store.
    :param records: the records to add.
    :param cutoff_s: segments with only records older than this are deleted,
        seconds since the epoch.
    """
    number = layout.next_number
    added = Segment.from_records(f'{layout.prefix}s{number:012d}', records)
    kept, deleted = _split_by_cutoff(layout, cutoff_s)
    writes = [added]
    unmerged = [segment for segment in kept if _is_unmerged(layout, segment)]
    if len(unmerged) >= _MERGE_THRESHOLD:
        merged = _merge(layout, unmerged, number)
        kept = [
            segment for segment in kept if not _is_unmerged(layout, segment)
        ]
        kept.append(merged)
        deleted.extend(unmerged)
        writes.append(merged)
    mutations = (
        Mutation(layout.head_key, str(number + 1).encode()),
        *(Mutation(segment.key, segment.payload) for segment in writes),
        *(
            Mutation(segment.key, None)
            for segment in deleted[:_MERGE_THRESHOLD]
        ),
    )
    new_layout = Layout(
        layout.partition,
        layout.head_revision,
        number + 1,
        (*kept, added),
    )
    return PlannedWrite(mutations, new_layout)


def _split_by_cutoff(
    layout: Layout, cutoff_s: float
) -> tuple[list[Segment], list[Segment]]:
    kept = []
    deleted = []
    for segment in layout.segments:
        if segment.newest_at_s >= cutoff_s:
            kept.append(segment)
        else:
            deleted.append(segment)
    return kept, deleted


def _is_unmerged(layout: Layout, segment: Segment) -> bool:
    return segment.key.startswith(f'{layout.prefix}s')


def _merge(layout: Layout, unmerged: list[Segment], number: int) -> Segment:
    records = [record for segment in unmerged for record in segment.records]
    return Segment.from_records(
        f'{layout.prefix}b{number:012d}', tuple(records)
    )
