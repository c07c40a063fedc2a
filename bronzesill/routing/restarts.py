"""Servers that start anew under another name, before they are listed."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

__all__ = ['LastSigns']

#: Bytes may have waited this long before they were read.
_READ_DELAY_S = 0.15
#: After a longer pause of this process nothing read is known to be fresh.
_STALL_S = 0.4


@dataclasses.dataclass(frozen=True)
class LastSigns:
    """
    When servers last showed that they lived.

    An address belongs to the same service for a while after its server has
    ended.  Who answers there within that while after the last sign of the
    server is its next start.

    All times are seconds of a clock that runs on while the host is
    suspended.

    :param reuse_s: seconds after its end in which the address of a server
        goes to no other service.
    :param at_s_by_server: time of the last sign by name.
    :param checked_at_s: when this process was last known to run.
    :param trusted_from_s: signs before this time are not counted.
    """

    reuse_s: float
    at_s_by_server: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    checked_at_s: float = 0
    trusted_from_s: float = 0

    def seen(self, server: str, now_s: float) -> LastSigns:
        """Take in bytes of a server."""
        return dataclasses.replace(
            self, at_s_by_server={**self.at_s_by_server, server: now_s}
        )

    def checked(self, now_s: float) -> LastSigns:
        """Take in that this process runs; called a few times a second."""
        trusted_from_s = self.trusted_from_s
        if now_s - self.checked_at_s > _STALL_S:
            trusted_from_s = now_s + _STALL_S
        fresh = {
            server: at_s
            for server, at_s in self.at_s_by_server.items()
            if now_s - at_s < self.reuse_s
        }
        return dataclasses.replace(
            self,
            at_s_by_server=fresh,
            checked_at_s=now_s,
            trusted_from_s=trusted_from_s,
        )

    def may_follow(self, server: str, now_s: float) -> bool:
        """Say whether who answers at a server's address is its next start."""
        at_s = self.at_s_by_server.get(server)
        if at_s is None or at_s < self.trusted_from_s:
            return False
        if now_s - self.checked_at_s > _STALL_S:
            return False
        return now_s < at_s + self.reuse_s - _READ_DELAY_S

    def due(self, failed: Iterable[str], now_s: float) -> tuple[str, ...]:
        """Return the failed servers whose next start may be asked for."""
        return tuple(
            server for server in failed if self.may_follow(server, now_s)
        )
