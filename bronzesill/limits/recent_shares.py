"""Share of recent requests that were dispatched, by kind of request."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['Outcomes', 'RecentShares']

_HALF_LIFE_S = 10.0
#: Kinds with fewer recent requests are not compared.
_MIN_REQUESTS = 2.0
#: A kind below this part of the mean share is preferred. It is above a half,
#: which each kind gets at least, as the counts of one host vary.
_LOWEST_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class Outcomes:
    """
    Decaying counts of requests.

    :param dispatched: number of dispatched requests.
    :param refused: number of requests that were refused or ran out of time.
    :param at_s: time in seconds to which the counts have decayed.
    """

    dispatched: float = 0
    refused: float = 0
    at_s: float = 0

    @property
    def total(self) -> float:
        """Number of requests."""
        return self.dispatched + self.refused

    @property
    def share(self) -> float:
        """Part of the requests that were dispatched, 1 if there are none."""
        return self.dispatched / self.total if self.total else 1

    def decayed(self, now_s: float) -> Outcomes:
        """Return the counts as they are at a time."""
        kept = math.exp2((self.at_s - now_s) / _HALF_LIFE_S)
        return Outcomes(self.dispatched * kept, self.refused * kept, now_s)

    def counted(self, now_s: float, *, is_dispatched: bool) -> Outcomes:
        """Return the counts with one more request."""
        before = self.decayed(now_s)
        return dataclasses.replace(
            before,
            dispatched=before.dispatched + int(is_dispatched),
            refused=before.refused + int(not is_dispatched),
        )


class RecentShares:
    """Outcomes of the requests of one service, in all and by kind."""

    def __init__(self) -> None:
        self._total = Outcomes()
        self._by_kind: dict[str, Outcomes] = {}
        #: Kinds below their share and recent use of kinds, as of a time.
        self._known_at_s = -math.inf
        self._lacking: frozenset[str] = frozenset()
        self._use_by_kind: dict[str, float] = {}

    def count(
        self, kinds: tuple[str, ...], now_s: float, *, is_dispatched: bool
    ) -> None:
        """Count a request of several kinds that was dispatched or refused."""
        self._total = self._total.counted(now_s, is_dispatched=is_dispatched)
        for kind in kinds:
            known = self._by_kind.get(kind, Outcomes())
            self._by_kind[kind] = known.counted(
                now_s, is_dispatched=is_dispatched
            )
        self._known_at_s = -math.inf

    def recent_use(self, kind: str, now_s: float) -> float:
        """Return the decayed number of dispatched requests of a kind."""
        self._update(now_s)
        return self._use_by_kind.get(kind, 0)

    def lacks_share(self, kinds: tuple[str, ...], now_s: float) -> bool:
        """Return whether one of the kinds is far below the mean share."""
        self._update(now_s)
        return not self._lacking.isdisjoint(kinds)

    def _update(self, now_s: float) -> None:
        if self._known_at_s == now_s:
            return
        self._known_at_s = now_s
        lowest = _LOWEST_SHARE * self._total.share
        recent = {
            kind: outcomes.decayed(now_s)
            for kind, outcomes in self._by_kind.items()
        }
        self._use_by_kind = {
            kind: outcomes.dispatched for kind, outcomes in recent.items()
        }
        self._lacking = frozenset(
            kind
            for kind, outcomes in recent.items()
            if outcomes.total >= _MIN_REQUESTS and outcomes.share < lowest
        )
