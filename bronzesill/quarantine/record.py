"""Suspects that are, or were, blocked, as known to one daemon."""

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
    'BlockedSuspects',
    'SuspectRecord',
    'fact_of',
    'record_from_entry',
    'record_from_fact',
    'record_from_text',
]

#: Prefix of the keys of records.
QUARANTINE_PREFIX = '/bronzesill/quarantine/'

_NO_SUSPECTS: frozenset[str] = frozenset()
_BLOCK_S = 600.0
#: A suspect that is blocked again stays so for longer, up to a day.
_MAX_BLOCK_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """
    Whether a suspect is blocked; the highest sequence number wins.

    :param suspect: what servers crashed on.
    :param sequence: number of the change.
    :param is_blocked: whether requests with the suspect are refused.
    :param changed_at_s: Unix time of the change in seconds.
    :param duration_s: seconds for which the block holds.
    :param companions: parts that a prompt must contain too to be refused, as
        nobody knows yet which of them is the cause.
    """

    suspect: str
    sequence: int
    is_blocked: bool
    changed_at_s: float
    duration_s: float = _BLOCK_S
    companions: frozenset[str] = frozenset()

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return f'{QUARANTINE_PREFIX}{self.suspect}'

    @property
    def ends_at_s(self) -> float:
        """Unix time from which on the record changes nothing, in seconds."""
        return self.changed_at_s + self.duration_s

    def remaining_s(self, now_s: float) -> float:
        """Return for how long requests are refused, 0 if they are not."""
        if not self.is_blocked:
            return 0
        return max(self.ends_at_s - now_s, 0)

    def blocked_again(
        self, now_s: float, companions: frozenset[str]
    ) -> SuspectRecord:
        """Return the record of a further block."""
        return SuspectRecord(
            self.suspect,
            self.sequence + 1,
            is_blocked=True,
            changed_at_s=now_s,
            duration_s=min(2 * self.duration_s, _MAX_BLOCK_S),
            companions=companions,
        )

    def widened(self, companions: frozenset[str]) -> SuspectRecord:
        """Return the record of a block of more prompts."""
        return dataclasses.replace(
            self, sequence=self.sequence + 1, companions=companions
        )

    def lifted(self, now_s: float) -> SuspectRecord:
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
class BlockedSuspects:
    """
    Newest record of each suspect.

    :param by_suspect: records by suspect.
    """

    by_suspect: Mapping[str, SuspectRecord] = field(default_factory=dict)

    def with_record(self, record: SuspectRecord) -> BlockedSuspects:
        """Return these and a record; the same ones if it is not newer."""
        known = self.by_suspect.get(record.suspect)
        if known is not None and known.sequence >= record.sequence:
            return self
        return BlockedSuspects({**self.by_suspect, record.suspect: record})

    def remaining_s(self, suspects: tuple[str, ...], now_s: float) -> float:
        """
        Return for how long a request with these suspects is refused.

        :param suspects: the request's identity and the parts of its prompt.
        :param now_s: current Unix time in seconds.
        :returns: seconds, 0 if none of them is blocked.
        """
        present = frozenset(suspects)
        records = (self.by_suspect.get(suspect) for suspect in suspects)
        return max(
            (
                record.remaining_s(now_s)
                for record in records
                if record and record.companions <= present
            ),
            default=0,
        )

    def find_active(self, suspect: str, now_s: float) -> SuspectRecord | None:
        """Return the record of a suspect that is blocked, none if it is not."""
        record = self.by_suspect.get(suspect)
        return record if record and record.remaining_s(now_s) else None

    def block(
        self,
        suspect: str,
        now_s: float,
        companions: frozenset[str] = _NO_SUSPECTS,
    ) -> SuspectRecord | None:
        """
        Return the record that blocks a suspect.

        :param suspect: what servers crashed on.
        :param now_s: current Unix time in seconds.
        :param companions: parts that a prompt must contain too.
        :returns: the record, none if the block in force refuses as much.
        """
        known = self.by_suspect.get(suspect)
        if known is None:
            return SuspectRecord(
                suspect,
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


def fact_of(record: SuspectRecord) -> Fact:
    """Return the fact by which gossip spreads a record."""
    text = orjson.dumps(unstructure(record)).decode()
    return Fact(FactKind.SUSPECT, record.suspect, record.sequence, text)


def record_from_fact(fact: Fact) -> SuspectRecord | None:
    """Return the record of a fact, none if it is of another kind."""
    if fact.kind != FactKind.SUSPECT:
        return None
    return record_from_text(fact.text)


def record_from_text(text: str) -> SuspectRecord | None:
    """Return the record of a fact's text, none if it can't be decoded."""
    return _decode(text.encode())


def record_from_entry(entry: StoredEntry) -> SuspectRecord | None:
    """Return the record of an entry of the store, none if there is none."""
    if entry.is_removed or not entry.key.startswith(QUARANTINE_PREFIX):
        return None
    return _decode(entry.payload)


def _decode(payload: bytes) -> SuspectRecord | None:
    try:
        return structure_json(payload, SuspectRecord)
    except (BronzesillError, DocumentInvalid, ValueError):
        return None
