"""Selection of the version for a request during a version change."""

from __future__ import annotations

import dataclasses

from ..utils import rank_by_rendezvous, stable_hash

__all__ = ['TrafficSplit', 'pick_version']

_HASH_SPACE = 2**64
_MIN_TRIAL_SERVERS = 2


@dataclasses.dataclass(frozen=True)
class TrafficSplit:
    """
    Traffic split of one model or service between two versions.

    :param old_version: version that receives the remaining traffic.
    :param new_version: version under trial, empty if there is none.
    :param share: fraction of requests sent to the new version, 0 to 1.
    """

    old_version: str
    new_version: str = ''
    share: float = 0

    def trial_servers(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """
        Return the servers used by the version under trial.

        Their number is proportional to the share, but at least two, so that
        the load of each server is close to its load after the change.

        :param names: names of all servers of the new version.
        """
        count = max(_MIN_TRIAL_SERVERS, round(self.share * len(names)))
        return rank_by_rendezvous(self.new_version, names)[:count]


def pick_version(split: TrafficSplit, request_id: str) -> str:
    """
    Return the version for a request, determined by a hash of its identifier.

    The result is the same on each call.  A request assigned to the new version
    remains assigned to it when the share increases.
    """
    if not split.new_version:
        return split.old_version
    hash_fraction = (
        stable_hash('split', split.new_version, request_id) / _HASH_SPACE
    )
    return (
        split.new_version if hash_fraction < split.share else split.old_version
    )
