"""How records lie in the store: a head, loose segments and blocks."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgpack

from ..store import Mutation, StoredEntry
from ..utils import (
    BronzesillError,
    ResultCode,
    structure_fields,
    unstructure_fields,
)
from .ledger import LedgerRecord

__all__ = ['LEDGER_PREFIX', 'Layout', 'Segment', 'plan_write']

LEDGER_PREFIX = '/bronzesill/ledger/'

_LOOSE_LIMIT = 48


@dataclasses.dataclass(frozen=True)
class Segment:
    """
    Records that were written together.

    :param key: key in the store.
    :param records: the records.
    :param newest_at_s: time of the newest record in it.
    """

    key: str
    records: tuple[LedgerRecord, ...]
    newest_at_s: float

    @classmethod
    def from_records(
        cls, key: str, records: tuple[LedgerRecord, ...]
    ) -> Segment:
        """Build a segment that is to be written."""
        newest_at_s = max((each.at_s for each in records), default=0)
        return cls(key, records, newest_at_s)

    @classmethod
    def from_entry(cls, entry: StoredEntry) -> Segment:
        """Parse a segment as the store keeps it."""
        try:
            fields: Any = msgpack.unpackb(entry.payload)
            records = tuple(
                structure_fields(each, LedgerRecord) for each in fields
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            # Without it nobody can tell what ran: grant nothing.
            raise BronzesillError(
                ResultCode.STORE_UNAVAILABLE,
                f'unreadable segment {entry.key}: {error}',
            ) from error
        return cls.from_records(entry.key, records)

    @property
    def payload(self) -> bytes:
        """The segment as the store keeps it."""
        fields = [unstructure_fields(record) for record in self.records]
        packed: bytes = msgpack.packb(fields)
        return packed


@dataclasses.dataclass(frozen=True)
class Layout:
    """
    What one partition has in the store.

    :param partition: number of the partition.
    :param head_revision: store revision of the head, 0 before the first
        write.
    :param next_number: number of the next segment.
    :param segments: all segments, oldest first.
    """

    partition: int
    head_revision: int = 0
    next_number: int = 0
    segments: tuple[Segment, ...] = ()

    @classmethod
    def from_entries(
        cls, partition: int, entries: tuple[StoredEntry, ...]
    ) -> Layout:
        """Build the layout from all keys of a partition."""
        layout = cls(partition)
        heads = [entry for entry in entries if entry.key == layout.head_key]
        if not heads:
            return layout
        return cls(
            partition=partition,
            head_revision=heads[0].mod_revision,
            next_number=int(heads[0].payload),
            segments=tuple(
                Segment.from_entry(entry)
                for entry in entries
                if entry.key != layout.head_key
            ),
        )

    @property
    def prefix(self) -> str:
        """Prefix of the partition's keys."""
        return f'{LEDGER_PREFIX}{self.partition:03d}/'

    @property
    def head_key(self) -> str:
        """Key that every write compares and replaces."""
        return f'{self.prefix}head'


@dataclasses.dataclass(frozen=True)
class PlannedWrite:
    """
    One write of a partition.

    :param mutations: what goes into the transaction.
    :param layout: the layout after it, its head's revision still open.
    """

    mutations: tuple[Mutation, ...]
    layout: Layout


def plan_write(
    layout: Layout, records: tuple[LedgerRecord, ...], oldest_s: float
) -> PlannedWrite:
    """
    Plan the write of some records.

    Loose segments are merged into a block now and then, and what is too old
    to matter is deleted, all in the same transaction.

    :param layout: what the partition has in the store.
    :param records: the records to add.
    :param oldest_s: time before which records may go.
    """
    number = layout.next_number
    added = Segment.from_records(f'{layout.prefix}s{number:012d}', records)
    kept, dropped = _split_by_age(layout, oldest_s)
    writes = [added]
    loose = [each for each in kept if _is_loose(layout, each)]
    if len(loose) >= _LOOSE_LIMIT:
        merged = _merge(layout, loose, number)
        kept = [each for each in kept if not _is_loose(layout, each)]
        kept.append(merged)
        dropped.extend(loose)
        writes.append(merged)
    mutations = (
        Mutation(layout.head_key, str(number + 1).encode()),
        *(Mutation(each.key, each.payload) for each in writes),
        *(Mutation(each.key, None) for each in dropped[:_LOOSE_LIMIT]),
    )
    after = Layout(
        layout.partition,
        layout.head_revision,
        number + 1,
        (*kept, added),
    )
    return PlannedWrite(mutations, after)


def _split_by_age(
    layout: Layout, oldest_s: float
) -> tuple[list[Segment], list[Segment]]:
    kept = []
    dropped = []
    for segment in layout.segments:
        if segment.newest_at_s >= oldest_s:
            kept.append(segment)
        else:
            dropped.append(segment)
    return kept, dropped


def _is_loose(layout: Layout, segment: Segment) -> bool:
    return segment.key.startswith(f'{layout.prefix}s')


def _merge(layout: Layout, loose: list[Segment], number: int) -> Segment:
    records = [record for segment in loose for record in segment.records]
    return Segment.from_records(
        f'{layout.prefix}b{number:012d}', tuple(records)
    )
