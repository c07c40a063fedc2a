"""Which backend servers are listed, and how long a missing one is kept."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from ..config import ListedServer
from .use import ServerRestart

__all__ = ['Listing']

#: Entries that lapsed with the store are back this long after its return.
_RETURN_S = 2.2


@dataclasses.dataclass(frozen=True)
class Listing:
    """
    Listed servers, those included that lapsed while the store was away.

    :param listed_by_name: the servers.
    :param missing: names of servers whose entries are missing, but may be
        back.
    :param is_store_away: whether the store does not answer.
    :param back_at_s: when the store answered again, none if it was never
        away.
    :param expected_at_s_by_name: time by which servers that started anew
        have an entry.
    """

    listed_by_name: Mapping[str, ListedServer] = dataclasses.field(
        default_factory=dict
    )
    missing: frozenset[str] = frozenset()
    is_store_away: bool = False
    back_at_s: float | None = None
    expected_at_s_by_name: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def written(self, name: str, listed: ListedServer | None) -> Listing:
        """
        Take in an entry.

        :param name: name of the server.
        :param listed: the server, none if its entry names none.
        """
        if listed is None:
            return self._without(name)
        kept = {
            known: other
            for known, other in self.listed_by_name.items()
            if other.server.address != listed.server.address
        }
        # Another start of a server at the same address ended the older one.
        return self._changed(
            listed_by_name={**kept, name: listed},
            missing=self.missing & kept.keys() - {name},
        )

    def restarted(self, restart: ServerRestart, now_s: float) -> Listing:
        """
        Take in that a server started anew, though no entry says so yet.

        Without an entry it is dropped when it should have one.

        :param restart: the server.
        :param now_s: time in seconds.
        """
        before = self.listed_by_name.get(restart.before)
        if before is None:
            return self
        listed = dataclasses.replace(before, is_leaving=False)
        renewed = self.written(restart.name, listed)
        expected = {
            **self.expected_at_s_by_name,
            restart.name: now_s + _RETURN_S,
        }
        return renewed._changed(
            missing=renewed.missing | {restart.name},
            expected_at_s_by_name=expected,
        )

    def removed(self, name: str, now_s: float) -> Listing:
        """Take in that an entry is missing."""
        if name not in self.listed_by_name:
            return self
        if self._may_be_back(now_s):
            return self._changed(missing=self.missing | {name})
        return self._without(name)

    def reached(self, *, is_reached: bool, now_s: float) -> Listing:
        """Take in whether the store answers."""
        if is_reached and self.is_store_away:
            return self._changed(is_store_away=False, back_at_s=now_s)
        if not is_reached and not self.is_store_away:
            return self._changed(is_store_away=True)
        return self

    def settled(self, now_s: float) -> Listing:
        """Drop the servers that are still missing when they would be back."""
        if not self.missing or self._may_be_back(now_s):
            return self
        settled = self
        for name in self.missing:
            if now_s >= self.expected_at_s_by_name.get(name, 0):
                settled = settled._without(name)
        return settled

    def _may_be_back(self, now_s: float) -> bool:
        if self.is_store_away:
            return True
        return self.back_at_s is not None and now_s < self.back_at_s + _RETURN_S

    def _without(self, name: str) -> Listing:
        kept = {
            known: listed
            for known, listed in self.listed_by_name.items()
            if known != name
        }
        expected = {
            known: at_s
            for known, at_s in self.expected_at_s_by_name.items()
            if known != name
        }
        return self._changed(
            listed_by_name=kept,
            missing=self.missing - {name},
            expected_at_s_by_name=expected,
        )

    def _changed(self, **changes: Any) -> Listing:
        return dataclasses.replace(self, **changes)
