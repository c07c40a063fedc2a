"""
Listed backend servers and the retention of servers without an entry.

The store may come back from an older copy.  It then shows servers that have
left or ended since as they were, until they write again or their leases end.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any, TypeVar

from ..config import RegisteredServer
from .use_reports import ServerRestart

__all__ = ['ServerListing']

T = TypeVar('T')

#: Time after a store recovery by which servers whose entries expired during
#: the outage have registered again.
_REREGISTRATION_S = 2.2
#: Time after a return of the store in which the entries of servers that had
#: ended before it expire.
_OLD_ENTRIES_EXPIRE_S = 6.0
#: Servers that ended and are remembered.
_MAX_ENDED = 1024


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
    :param ended_by_name: last state of servers that are no longer listed, the
        last one that ended last.
    :param held_until_s_by_name: time in seconds at which entries that an older
        copy of the store shows are taken as they are.
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
    ended_by_name: Mapping[str, RegisteredServer] = dataclasses.field(
        default_factory=dict
    )
    held_until_s_by_name: Mapping[str, float] = dataclasses.field(
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
        # A newer server instance at the same address replaces the older one.
        replaced = tuple(
            entry_name
            for entry_name, other in self.listed_by_name.items()
            if other.server.address == listed.server.address
            and entry_name != name
        )
        remaining = self._without_all(replaced)
        return remaining._changed(
            listed_by_name={**remaining.listed_by_name, name: listed},
            missing=remaining.missing - {name},
            ended_by_name=_without_key(remaining.ended_by_name, name),
            held_until_s_by_name=_without_key(self.held_until_s_by_name, name),
        )

    def with_returned_entry(
        self, name: str, listed: RegisteredServer | None, now_s: float
    ) -> ServerListing:
        """
        Return a copy that includes an entry of a store that has come back.

        The store may show an older state than this one: a server that leaves
        or has ended stays so until it writes again, or until its entry has
        outlived the lease that it had.

        :param name: name of the server.
        :param listed: the server as the store shows it, ``None`` if the entry
            describes no server.
        :param now_s: current time in seconds.
        """
        known = self.listed_by_name.get(name)
        if listed is None:
            return self.without_entry(name, now_s)
        if known is not None and not listed.is_later_than(known):
            return self.with_entry(name, known)
        if self._is_superseded(name, listed):
            until_s = now_s + _OLD_ENTRIES_EXPIRE_S
            held = {**self.held_until_s_by_name, name: until_s}
            return self._changed(held_until_s_by_name=held)
        return self.with_entry(name, listed)

    def without_hold(self, name: str) -> ServerListing:
        """Return a copy in which the entry of a server is no longer held."""
        if name not in self.held_until_s_by_name:
            return self
        held = _without_key(self.held_until_s_by_name, name)
        return self._changed(held_until_s_by_name=held)

    def released_names(self, now_s: float) -> tuple[str, ...]:
        """Return the servers whose entries are now taken as they are."""
        return tuple(
            name
            for name, until_s in self.held_until_s_by_name.items()
            if now_s >= until_s
        )

    def with_store_returned(self, now_s: float) -> ServerListing:
        """Return a copy that reflects a return of the store at this time."""
        return self._changed(store_recovered_at_s=now_s)

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
            return self.without_hold(name)
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

    def _is_superseded(self, name: str, listed: RegisteredServer) -> bool:
        """Return whether a server ended, or another one has its address."""
        ended = self.ended_by_name.get(name)
        if ended is not None and not listed.is_later_than(ended):
            return True
        return any(
            other.server.address == listed.server.address
            and other.server.started_at_s > listed.server.started_at_s
            for other in self.listed_by_name.values()
        )

    def _without_all(self, names: tuple[str, ...]) -> ServerListing:
        remaining = self
        for name in names:
            remaining = remaining._without(name)
        return remaining

    def _without(self, name: str) -> ServerListing:
        listed = self.listed_by_name.get(name)
        ended = _without_key(self.ended_by_name, name)
        if listed is not None:
            ended = {**ended, name: listed}
        if len(ended) > _MAX_ENDED:
            ended = _without_key(ended, next(iter(ended)))
        return self._changed(
            listed_by_name=_without_key(self.listed_by_name, name),
            missing=self.missing - {name},
            expected_at_s_by_name=_without_key(
                self.expected_at_s_by_name, name
            ),
            ended_by_name=ended,
        )

    def _changed(self, **changes: Any) -> ServerListing:
        return dataclasses.replace(self, **changes)


def _without_key(mapping: Mapping[str, T], key: str) -> Mapping[str, T]:
    return {
        known: content for known, content in mapping.items() if known != key
    }
