"""Detection of correlated server failures in a failure domain."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

__all__ = ['DomainFailures']

_CORRELATION_WINDOW_S = 1.0
_SUSPICION_S = 1.4
_MIN_FAILED_SERVERS = 2


@dataclasses.dataclass(frozen=True)
class DomainFailures:
    """
    Recent server failures by group.

    A group consists of the servers of one model or service in one failure
    domain.  If two servers of a group fail within one second, all servers of
    the group are suspected, for slightly longer than a domain failure takes.

    :param failed_at_s_by_group: time of the last failure of each server, by
        group and server name.
    """

    failed_at_s_by_group: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )

    def with_failure(
        self, group: str, server: str, now_s: float
    ) -> DomainFailures:
        """
        Return a copy that includes a server failure.

        :param group: group of the server.
        :param server: name of the server.
        :param now_s: current time in seconds.
        """
        recent = {
            name: at_s
            for name, at_s in self._failures(group).items()
            if now_s - at_s < _SUSPICION_S
        }
        recent[server] = now_s
        return DomainFailures({**self.failed_at_s_by_group, group: recent})

    def is_suspected(self, group: str, now_s: float) -> bool:
        """Return whether a correlated failure of the group is suspected."""
        times = sorted(self._failures(group).values())
        if len(times) < _MIN_FAILED_SERVERS:
            return False
        last_s = times[-1]
        correlated = [
            at_s for at_s in times if last_s - at_s <= _CORRELATION_WINDOW_S
        ]
        return (
            len(correlated) >= _MIN_FAILED_SERVERS
            and now_s - last_s < _SUSPICION_S
        )

    def _failures(self, group: str) -> Mapping[str, float]:
        return self.failed_at_s_by_group.get(group, {})
