"""What servers say of their leaving, as daemons tell each other."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

from ..config import BackendServer
from ..membership import Fact, FactKind

__all__ = ['HeardNotices', 'LeavingNotice', 'fact_of', 'notice_from_fact']

#: A host that has only heard that a server leaves sends it no request for
#: this long; then its own answers tell.
_HEARD_VALID_S = 30.0
_MAX_HEARD = 1024
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class LeavingNotice:
    """
    Notice that a server leaves, which holds for one start of it.

    :param server: name of the server.
    :param address: address of the server.
    :param started_at_ms: start time of the server in milliseconds since the
        epoch.
    """

    server: str
    address: str
    started_at_ms: int

    @classmethod
    def from_server(cls, server: BackendServer, name: str) -> LeavingNotice:
        """Return the notice of a listed server."""
        return cls(name, str(server.address), _started_at_ms(server))

    def holds_for(self, server: BackendServer) -> bool:
        """Return whether the notice is not of an earlier start of a server."""
        return self.address == str(
            server.address
        ) and self.started_at_ms >= _started_at_ms(server)

    def covers(self, other: LeavingNotice) -> bool:
        """Return whether this is the same notice, or of a later start."""
        return self == other or self.started_at_ms > other.started_at_ms


@dataclasses.dataclass(frozen=True)
class _HeardNotice:
    notice: LeavingNotice
    until_s: float


@dataclasses.dataclass(frozen=True)
class HeardNotices:
    """
    Notices that other daemons told, each for a limited time.

    :param heard_by_server: last notice of each server, by its name.
    """

    heard_by_server: Mapping[str, _HeardNotice] = field(default_factory=dict)

    def with_notice(self, notice: LeavingNotice, now_s: float) -> HeardNotices:
        """
        Return a copy that includes a notice.

        A notice that is known already is not prolonged, and one of an earlier
        start is ignored.
        """
        known = self.heard_by_server.get(notice.server)
        if known and known.notice.started_at_ms >= notice.started_at_ms:
            return self
        if known is None and len(self.heard_by_server) >= _MAX_HEARD:
            return self
        heard = _HeardNotice(notice, now_s + _HEARD_VALID_S)
        return HeardNotices({**self.heard_by_server, notice.server: heard})

    def without_expired(self, now_s: float) -> HeardNotices:
        """Return the notices that are still valid, this instance if all are."""
        valid = {
            server: heard
            for server, heard in self.heard_by_server.items()
            if now_s < heard.until_s
        }
        if len(valid) == len(self.heard_by_server):
            return self
        return HeardNotices(valid)

    def is_leaving(self, server: BackendServer, name: str) -> bool:
        """Return whether a notice holds for a listed server."""
        heard = self.heard_by_server.get(name)
        return heard is not None and heard.notice.holds_for(server)


def fact_of(notice: LeavingNotice, rank: int) -> Fact:
    """
    Return a notice as a fact.

    The key is the address, so that the number of facts does not grow with
    each start of a server.

    :param notice: the notice.
    :param rank: rank above that of the last notice of the same address.
    """
    text = f'{notice.started_at_ms} {notice.server}'
    return Fact(FactKind.SERVER_SAID_LEAVING, notice.address, rank, text)


def notice_from_fact(fact: Fact) -> LeavingNotice | None:
    """Return the notice that a fact contains, ``None`` if it has none."""
    if fact.kind != FactKind.SERVER_SAID_LEAVING:
        return None
    started_at_ms, _, server = fact.text.partition(' ')
    is_readable = started_at_ms.isascii() and started_at_ms.isdigit()
    if not is_readable or not server:
        return None
    return LeavingNotice(server, fact.key, int(started_at_ms))


def _started_at_ms(server: BackendServer) -> int:
    return round(server.started_at_s * _MS_PER_S)
