"""Listed backend servers and the retention of servers without an entry."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from ..config import RegisteredServer
from .use_reports import ServerRestart

__all__ = ['ServerListing']

#: Time after a store recovery by which servers whose entries expired during
#: the outage have registered again.
_REREGISTRATION_S = 2.2


@dataclasses.dataclass(frozen=True)
class ServerListing:
    """
    Listed servers, including those whose entries expired in a store outage.

    :param listed_by_name: listed servers by name.
    :param missing: names of servers that are retained without an entry in the
        store, because they are expected to register.
    :param is_store_unreachable: whether the store is unreachable.
    :param store_recovered_at_s: time in seconds at which the store last became
        reachable again, ``None`` if there was no outage.
    :param expected_at_s_by_name: time in seconds by which a restarted server
        is expected to have an entry.
    """

    listed_by_name: Mapping[str, RegisteredServer] = dataclasses.field(
        default_factory=dict
    )
    missing: frozenset[str] = frozenset()
    is_store_unreachable: bool = False
    store_recovered_at_s: float | None = None
    expected_at_s_by_name: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def with_entry(
        self, name: str, listed: RegisteredServer | None
    ) -> ServerListing:
        """
        Return a copy that includes a written entry.

        :param name: name of the server.
        :param listed: the listed server, ``None`` if the entry describes no
            server; the server is then removed.
        """
        if listed is None:
            return self._without(name)
        remaining = {
            entry_name: other
            for entry_name, other in self.listed_by_name.items()
            if other.server.address != listed.server.address
        }
        # A newer server instance at the same address replaces the older one.
        return self._changed(
            listed_by_name={**remaining, name: listed},
            missing=self.missing & remaining.keys() - {name},
        )

    def with_restart(
        self, restart: ServerRestart, now_s: float
    ) -> ServerListing:
        """
        Return a copy in which a restarted server replaces its old instance.

        The new instance has no entry in the store yet.  While the store is
        reachable, it is removed if it has not registered within
        ``_REREGISTRATION_S``.

        :param restart: old and new name of the server.
        :param now_s: current time in seconds.
        """
        previous = self.listed_by_name.get(restart.old_name)
        if previous is None:
            return self
        listed = dataclasses.replace(previous, is_leaving=False)
        updated = self.with_entry(restart.new_name, listed)
        expected = {
            **self.expected_at_s_by_name,
            restart.new_name: now_s + _REREGISTRATION_S,
        }
        return updated._changed(
            missing=updated.missing | {restart.new_name},
            expected_at_s_by_name=expected,
        )

    def without_entry(self, name: str, now_s: float) -> ServerListing:
        """
        Return a copy that reflects the deletion or expiry of an entry.

        The server is retained as missing during a store outage and for
        ``_REREGISTRATION_S`` after it.

        :param name: name of the server.
        :param now_s: current time in seconds.
        """
        if name not in self.listed_by_name:
            return self
        if self._may_reappear(now_s):
            return self._changed(missing=self.missing | {name})
        return self._without(name)

    def with_store_state(
        self, *, is_reached: bool, now_s: float
    ) -> ServerListing:
        """Return a copy that reflects whether the store is reachable."""
        if is_reached and self.is_store_unreachable:
            return self._changed(
                is_store_unreachable=False, store_recovered_at_s=now_s
            )
        if not is_reached and not self.is_store_unreachable:
            return self._changed(is_store_unreachable=True)
        return self

    def without_expired(self, now_s: float) -> ServerListing:
        """Return a copy without missing servers whose retention has ended."""
        if not self.missing or self._may_reappear(now_s):
            return self
        updated = self
        for name in self.missing:
            if now_s >= self.expected_at_s_by_name.get(name, 0):
                updated = updated._without(name)
        return updated

    def _may_reappear(self, now_s: float) -> bool:
        if self.is_store_unreachable:
            return True
        return (
            self.store_recovered_at_s is not None
            and now_s < self.store_recovered_at_s + _REREGISTRATION_S
        )

    def _without(self, name: str) -> ServerListing:
        remaining = {
            entry_name: listed
            for entry_name, listed in self.listed_by_name.items()
            if entry_name != name
        }
        expected = {
            entry_name: at_s
            for entry_name, at_s in self.expected_at_s_by_name.items()
            if entry_name != name
        }
        return self._changed(
            listed_by_name=remaining,
            missing=self.missing - {name},
            expected_at_s_by_name=expected,
        )

    def _changed(self, **changes: Any) -> ServerListing:
        return dataclasses.replace(self, **changes)
