"""Detection of restarted servers before they are listed."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

__all__ = ['LastActivity']

#: Seconds before the earliest reuse of an address from which an instance at
#: it is no longer taken for a restart.
_REUSE_MARGIN_S = 0.15
#: If this process paused for longer, activity is not used for a while.
_STALL_THRESHOLD_S = 0.4


@dataclasses.dataclass(frozen=True)
class LastActivity:
    """
    Times at which servers were last known to be running.

    A server that answers a request was running when the request was sent, or
    later.  When its answer is read tells no more: a cut or a pause may have
    held it up for any time, also beyond the end of the server.

    After a server has terminated, its address is not assigned to another
    service for ``reuse_s`` seconds.  An instance that responds at the address
    within this time after the last activity of the server is therefore its
    restarted instance.

    All times are in seconds, from a clock that keeps running while the host
    is suspended.

    :param reuse_s: seconds after the termination of a server during which its
        address is not assigned to another service.
    :param last_seen_at_s_by_server: time of the last activity by server name.
    :param checked_at_s: time at which this process was last known to run.
    :param trusted_from_s: activity before this time is ignored.
    """

    reuse_s: float
    last_seen_at_s_by_server: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    checked_at_s: float = 0
    trusted_from_s: float = 0

    def with_activity(self, server: str, asked_at_s: float) -> LastActivity:
        """
        Return a copy that records an answer of a server.

        :param server: name of the server.
        :param asked_at_s: time at which the answered request was sent.
        """
        known_at_s = self.last_seen_at_s_by_server.get(server, 0)
        return dataclasses.replace(
            self,
            last_seen_at_s_by_server={
                **self.last_seen_at_s_by_server,
                server: max(known_at_s, asked_at_s),
            },
        )

    def is_active_since(self, server: str, since_s: float) -> bool:
        """Return whether a server was running at or after a time."""
        return self.last_seen_at_s_by_server.get(server, 0) >= since_s

    def with_check(self, now_s: float) -> LastActivity:
        """
        Return a copy that records that this process is running.

        Has to be called several times a second: a gap longer than
        ``_STALL_THRESHOLD_S`` counts as a pause of the process.  Requests
        sent before its end, or within ``_STALL_THRESHOLD_S`` of it, are then
        not used as evidence.
        """
        trusted_from_s = self.trusted_from_s
        if now_s - self.checked_at_s > _STALL_THRESHOLD_S:
            trusted_from_s = now_s + _STALL_THRESHOLD_S
        recent = {
            server: at_s
            for server, at_s in self.last_seen_at_s_by_server.items()
            if now_s - at_s < self.reuse_s
        }
        return dataclasses.replace(
            self,
            last_seen_at_s_by_server=recent,
            checked_at_s=now_s,
            trusted_from_s=trusted_from_s,
        )

    def may_be_restart(self, server: str, now_s: float) -> bool:
        """
        Return whether an instance at a server's address is its restart.

        ``False`` if the server was not active recently enough to rule out that
        its address has been assigned to another service.

        :param server: name of the server before the restart.
        :param now_s: current time in seconds.
        """
        at_s = self.last_seen_at_s_by_server.get(server)
        if at_s is None or at_s < self.trusted_from_s:
            return False
        if now_s - self.checked_at_s > _STALL_THRESHOLD_S:
            return False
        return now_s < at_s + self.reuse_s - _REUSE_MARGIN_S

    def restart_candidates(
        self, failed: Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the failed servers that may be probed for a restart."""
        return tuple(
            server for server in failed if self.may_be_restart(server, now_s)
        )
