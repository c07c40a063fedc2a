"""Parts of prompts that are, or were, blocked, as known to one daemon."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

import orjson

from ..membership import Fact, FactKind
from ..store import Mutation, StoredEntry
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    structure_json,
    unstructure,
)

__all__ = [
    'QUARANTINE_PREFIX',
    'BlockedParts',
    'PartRecord',
    'fact_of',
    'record_from_entry',
    'record_from_fact',
]

#: Prefix of the keys of records.
QUARANTINE_PREFIX = '/bronzesill/prompt-parts/'

_NO_PARTS: frozenset[str] = frozenset()
_BLOCK_S = 600.0
#: A part that is blocked again stays so for longer, up to a day.
_MAX_BLOCK_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class PartRecord:
    """
    Whether a part of a prompt is blocked; the highest sequence number wins.

    :param part: id of the part.
    :param sequence: number of the change.
    :param is_blocked: whether requests with the part are refused.
    :param changed_at_s: Unix time of the change in seconds.
    :param duration_s: seconds for which the block holds.
    :param companions: parts that a prompt must contain too to be refused, as
        nobody knows yet which of them is the cause.
    """

    part: str
    sequence: int
    is_blocked: bool
    changed_at_s: float
    duration_s: float = _BLOCK_S
    companions: frozenset[str] = frozenset()

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return f'{QUARANTINE_PREFIX}{self.part}'

    def remaining_s(self, now_s: float) -> float:
        """Return for how long requests are refused, 0 if they are not."""
        if not self.is_blocked:
            return 0
        return max(self.changed_at_s + self.duration_s - now_s, 0)

    def blocked_again(
        self, now_s: float, companions: frozenset[str]
    ) -> PartRecord:
        """Return the record of a further block."""
        return PartRecord(
            self.part,
            self.sequence + 1,
            is_blocked=True,
            changed_at_s=now_s,
            duration_s=min(2 * self.duration_s, _MAX_BLOCK_S),
            companions=companions,
        )

    def widened(self, companions: frozenset[str]) -> PartRecord:
        """Return the record of a block of more prompts."""
        return dataclasses.replace(
            self, sequence=self.sequence + 1, companions=companions
        )

    def lifted(self, now_s: float) -> PartRecord:
        """Return the record after the block was lifted."""
        return dataclasses.replace(
            self,
            sequence=self.sequence + 1,
            is_blocked=False,
            changed_at_s=now_s,
        )

    def to_mutation(self) -> Mutation:
        """Return the write that stores the record."""
        return Mutation(self.key, orjson.dumps(unstructure(self)))


@dataclasses.dataclass(frozen=True)
class BlockedParts:
    """
    Newest record of each part.

    :param by_part: records by id of the part.
    """

    by_part: Mapping[str, PartRecord] = field(default_factory=dict)

    def with_record(self, record: PartRecord) -> BlockedParts:
        """Return these and a record; the same ones if it is not newer."""
        known = self.by_part.get(record.part)
        if known is not None and known.sequence >= record.sequence:
            return self
        return BlockedParts({**self.by_part, record.part: record})

    def remaining_s(self, parts: tuple[str, ...], now_s: float) -> float:
        """
        Return for how long a prompt with these parts is refused.

        :param parts: ids of parts.
        :param now_s: current Unix time in seconds.
        :returns: seconds, 0 if none of the parts is blocked.
        """
        if not self.by_part:
            return 0
        present = frozenset(parts)
        records = (self.by_part.get(part) for part in parts)
        return max(
            (
                record.remaining_s(now_s)
                for record in records
                if record and record.companions <= present
            ),
            default=0,
        )

    def find_active(self, part: str, now_s: float) -> PartRecord | None:
        """Return the record of a part that is blocked, none if it is not."""
        record = self.by_part.get(part)
        return record if record and record.remaining_s(now_s) else None

    def block(
        self,
        part: str,
        now_s: float,
        companions: frozenset[str] = _NO_PARTS,
    ) -> PartRecord | None:
        """
        Return the record that blocks a part.

        :param part: id of the part.
        :param now_s: current Unix time in seconds.
        :param companions: parts that a prompt must contain too.
        :returns: the record, none if the block in force refuses as much.
        """
        known = self.by_part.get(part)
        if known is None:
            return PartRecord(
                part,
                1,
                is_blocked=True,
                changed_at_s=now_s,
                companions=companions,
            )
        if not known.remaining_s(now_s):
            return known.blocked_again(now_s, companions)
        if known.companions <= companions:
            return None
        return known.widened(known.companions & companions)


def fact_of(record: PartRecord) -> Fact:
    """Return the fact by which gossip spreads a record."""
    text = orjson.dumps(unstructure(record)).decode()
    return Fact(FactKind.PROMPT_PART, record.part, record.sequence, text)


def record_from_fact(fact: Fact) -> PartRecord | None:
    """Return the record of a fact, none if it is of another kind."""
    if fact.kind != FactKind.PROMPT_PART:
        return None
    return _decode(fact.text.encode())


def record_from_entry(entry: StoredEntry) -> PartRecord | None:
    """Return the record of an entry of the store, none if there is none."""
    if entry.is_removed or not entry.key.startswith(QUARANTINE_PREFIX):
        return None
    return _decode(entry.payload)


def _decode(payload: bytes) -> PartRecord | None:
    try:
        return structure_json(payload, PartRecord)
    except (BronzesillError, DocumentInvalid, ValueError):
        return None
