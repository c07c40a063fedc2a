"""Where a named generation runs, kept by a few daemons in memory."""

import dataclasses
from typing import Protocol

__all__ = [
    'LocalDirectory',
    'LocationDirectory',
    'LocationRecord',
    'LocationTable',
]

_TTL_S = 60.0


@dataclasses.dataclass(frozen=True)
class LocationRecord:
    """
    Where a generation is computed.

    :param request_key: client account and request id.
    :param fingerprint: hash of the request's body.
    :param generation_id: the one generation of the request.
    :param version: backend server version, fixed for the answer.
    :param seed: seed handed to the engine.
    :param server: backend server of the attempt.
    :param attempt: number of the attempt.
    :param owner: daemon that opened or last took over the attempt.
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
class _Kept:
    record: LocationRecord
    expires_at_s: float


class LocationTable:
    """Records of one home daemon; reads no clock and does no I/O."""

    def __init__(self) -> None:
        self._kept_by_key: dict[str, _Kept] = {}

    def __len__(self) -> int:
        return len(self._kept_by_key)

    def claim(self, offered: LocationRecord, now_s: float) -> LocationRecord:
        """
        Offer a record and return the one that holds.

        A later attempt of the same generation replaces an earlier one; the
        owner of an attempt refreshes it; anything else loses to what is
        kept, so that two daemons end up with one generation.
        """
        kept = self._kept_by_key.get(offered.request_key)
        holds = offered
        if kept is not None and kept.expires_at_s > now_s:
            holds = _settle(kept.record, offered)
        self._kept_by_key[offered.request_key] = _Kept(holds, now_s + _TTL_S)
        return holds

    def take_over(self, offered: LocationRecord, now_s: float) -> None:
        """Make the offered owner the one that looks after the attempt."""
        kept = self._kept_by_key.get(offered.request_key)
        if kept is None or _is_same_attempt(kept.record, offered):
            self._kept_by_key[offered.request_key] = _Kept(
                offered, now_s + _TTL_S
            )

    def find(self, request_key: str, now_s: float) -> LocationRecord | None:
        """Return the record of a request, if any is kept."""
        kept = self._kept_by_key.get(request_key)
        if kept is None or kept.expires_at_s <= now_s:
            return None
        return kept.record

    def expire(self, now_s: float) -> None:
        """Forget records that nobody refreshed."""
        self._kept_by_key = {
            key: kept
            for key, kept in self._kept_by_key.items()
            if kept.expires_at_s > now_s
        }


def _is_same_attempt(one: LocationRecord, other: LocationRecord) -> bool:
    return (
        one.generation_id == other.generation_id
        and one.attempt == other.attempt
    )


def _settle(kept: LocationRecord, offered: LocationRecord) -> LocationRecord:
    is_same_generation = kept.generation_id == offered.generation_id
    is_later = offered.attempt > kept.attempt
    is_refresh = _is_same_attempt(kept, offered) and (
        kept.owner == offered.owner
    )
    if is_refresh or (is_same_generation and is_later):
        return offered
    return kept


class LocationDirectory(Protocol):
    """How a daemon asks the homes of a request."""

    async def claim(self, offered: LocationRecord) -> LocationRecord:
        """Offer a record and return the one that holds."""

    async def take_over(self, offered: LocationRecord) -> None:
        """Make this daemon look after an attempt it reads."""

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, if any home knows it."""


class LocalDirectory:
    """
    Directory of a daemon that has no peers.

    :param table: the daemon's own records.
    """

    def __init__(self, table: LocationTable) -> None:
        self._table = table

    async def claim(self, offered: LocationRecord) -> LocationRecord:
        """Offer a record and return the one that holds."""
        return self._table.claim(offered, 0)

    async def take_over(self, offered: LocationRecord) -> None:
        """Make this daemon look after an attempt it reads."""
        self._table.take_over(offered, 0)

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, if it is known."""
        return self._table.find(request_key, 0)
