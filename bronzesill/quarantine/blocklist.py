"""The parts of prompts that are blocked, as known to one daemon."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

from .record import PartRecord

__all__ = ['BlockedParts']

_NO_PARTS: frozenset[str] = frozenset()


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
