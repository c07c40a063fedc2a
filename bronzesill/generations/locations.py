"""
In-memory records of where generations run.

Only generations whose request id was chosen by the caller are recorded. The
records let a daemon join a generation that another daemon started.
"""

import dataclasses
from typing import Protocol

__all__ = [
    'LocalDirectory',
    'LocationDirectory',
    'LocationRecord',
    'LocationTable',
]

_RECORD_TTL_S = 60.0


@dataclasses.dataclass(frozen=True)
class LocationRecord:
    """
    Location of the generation that answers a request.

    :param request_key: client account and request id, joined by a slash.
    :param fingerprint: hash of the request's body.
    :param generation_id: identifier of the generation.
    :param version: backend server version that computes the answer.
    :param seed: seed passed to the engine.
    :param server: backend server of the current attempt.
    :param attempt: number of the current attempt.
    :param owner: name of the daemon that opened or last took over the
        attempt.
    """

    request_key: str
    fingerprint: int
    generation_id: str
    version: str
    seed: int
    server: str
    attempt: int
    owner: str


@dataclasses.dataclass(frozen=True)
class _Entry:
    record: LocationRecord
    expires_at_s: float


class LocationTable:
    """
    Records kept by one daemon, each for 60 s after its last update.

    The table reads no clock and performs no I/O. All times passed to it are
    in seconds on the same clock.
    """

    def __init__(self) -> None:
        self._entries_by_key: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def claim(self, proposed: LocationRecord, now_s: float) -> LocationRecord:
        """
        Store a record unless another one takes precedence.

        A later attempt of the same generation replaces an earlier one, and
        the owner of an attempt refreshes its record. Otherwise the stored
        record takes precedence until it expires, so that two daemons agree
        on one generation. Each call extends the lifetime of the record that
        remains stored.

        :param proposed: record to store.
        :param now_s: current time, in seconds.
        :returns: the record that is stored after the call.
        """
        entry = self._entries_by_key.get(proposed.request_key)
        current = proposed
        if entry is not None and entry.expires_at_s > now_s:
            current = _resolve_conflict(entry.record, proposed)
        self._entries_by_key[proposed.request_key] = _Entry(
            current, now_s + _RECORD_TTL_S
        )
        return current

    def take_over(self, proposed: LocationRecord, now_s: float) -> None:
        """
        Replace the owner of an attempt, or store the record if there is none.

        :param proposed: record with the new owner. It is ignored if the
            stored record is of another attempt or generation.
        :param now_s: current time, in seconds.
        """
        entry = self._entries_by_key.get(proposed.request_key)
        if entry is None or _is_same_attempt(entry.record, proposed):
            self._entries_by_key[proposed.request_key] = _Entry(
                proposed, now_s + _RECORD_TTL_S
            )

    def find(self, request_key: str, now_s: float) -> LocationRecord | None:
        """Return the unexpired record of a request, or None."""
        entry = self._entries_by_key.get(request_key)
        if entry is None or entry.expires_at_s <= now_s:
            return None
        return entry.record

    def expire(self, now_s: float) -> None:
        """Remove the records whose lifetime has ended."""
        self._entries_by_key = {
            key: entry
            for key, entry in self._entries_by_key.items()
            if entry.expires_at_s > now_s
        }


def _is_same_attempt(one: LocationRecord, other: LocationRecord) -> bool:
    return (
        one.generation_id == other.generation_id
        and one.attempt == other.attempt
    )


def _resolve_conflict(
    stored: LocationRecord, proposed: LocationRecord
) -> LocationRecord:
    is_same_generation = stored.generation_id == proposed.generation_id
    is_later = proposed.attempt > stored.attempt
    is_refresh = _is_same_attempt(stored, proposed) and (
        stored.owner == proposed.owner
    )
    if is_refresh or (is_same_generation and is_later):
        return proposed
    return stored


class LocationDirectory(Protocol):
    """Access to the location records of generations."""

    async def claim(self, proposed: LocationRecord) -> LocationRecord:
        """Store a record unless another takes precedence; return the winner."""

    async def take_over(self, proposed: LocationRecord) -> None:
        """Make the owner in the record the owner of the attempt."""

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, or None if there is none."""


class LocalDirectory:
    """
    Directory of a daemon that has no peers.

    It passes the constant time 0 to the table, so records never expire.

    :param table: records of this daemon.
    """

    def __init__(self, table: LocationTable) -> None:
        self._table = table

    async def claim(self, proposed: LocationRecord) -> LocationRecord:
        """Store a record unless another takes precedence; return the winner."""
        return self._table.claim(proposed, 0)

    async def take_over(self, proposed: LocationRecord) -> None:
        """Make the owner in the record the owner of the attempt."""
        self._table.take_over(proposed, 0)

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._table.find(request_key, 0)
