"""Failure domains whose servers fail together."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

__all__ = ['DomainSuspicion']

_TOGETHER_S = 1.0
_AVOID_S = 1.4
_ENOUGH = 2


@dataclasses.dataclass(frozen=True)
class DomainSuspicion:
    """
    Failures of late by group, a group being one domain's servers of a kind.

    Two servers of a group that fail within a second speak against all of
    them, for a little longer than such an event takes.

    :param failed_at_s_by_group: last failure by server, by group.
    """

    failed_at_s_by_group: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )

    def failed(self, group: str, server: str, now_s: float) -> DomainSuspicion:
        """
        Take in a failure.

        :param group: group of the server.
        :param server: name of the server.
        :param now_s: time in seconds.
        """
        recent = {
            name: at_s
            for name, at_s in self._failures(group).items()
            if now_s - at_s < _AVOID_S
        }
        recent[server] = now_s
        return DomainSuspicion({**self.failed_at_s_by_group, group: recent})

    def is_suspected(self, group: str, now_s: float) -> bool:
        """Say whether the servers of a group are avoided now."""
        times = sorted(self._failures(group).values())
        if len(times) < _ENOUGH:
            return False
        last_s = times[-1]
        together = [at_s for at_s in times if last_s - at_s <= _TOGETHER_S]
        return len(together) >= _ENOUGH and now_s - last_s < _AVOID_S

    def _failures(self, group: str) -> Mapping[str, float]:
        return self.failed_at_s_by_group.get(group, {})
