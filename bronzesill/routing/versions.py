"""Which version answers a request while traffic moves."""

from __future__ import annotations

import dataclasses

from ..utils import rank_by_rendezvous, stable_hash

__all__ = ['TrafficSplit', 'pick_version']

_HASH_SPACE = 2**64
_MIN_TRIAL_SERVERS = 2


@dataclasses.dataclass(frozen=True)
class TrafficSplit:
    """
    How traffic of one model or service is split between two versions.

    :param old_version: version that gets what the new one does not.
    :param new_version: version under trial, empty if none.
    :param share: share of the new version, 0 to 1.
    """

    old_version: str
    new_version: str = ''
    share: float = 0

    def trial_servers(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """
        Return the servers that the version under trial uses.

        As many as its share asks for, two at the least, so that each has
        about the load that it will have later.

        :param names: all servers of the version.
        """
        count = max(_MIN_TRIAL_SERVERS, round(self.share * len(names)))
        return rank_by_rendezvous(self.new_version, names)[:count]


def pick_version(split: TrafficSplit, request_id: str) -> str:
    """
    Pick the version for a request, the same one each time it is asked.

    A request that went to the new version stays there as the share grows.
    """
    if not split.new_version:
        return split.old_version
    point = stable_hash('split', split.new_version, request_id) / _HASH_SPACE
    return split.new_version if point < split.share else split.old_version
