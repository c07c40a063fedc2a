"""Configuration revisions and their precedence."""

import dataclasses

from ..utils import stable_hash

__all__ = ['Revision', 'StoredConfig', 'should_adopt']


@dataclasses.dataclass(frozen=True, order=True)
class Revision:
    """
    Identifier of a configuration.

    :param number: revision number, which increases with each accepted
        change; 0 means that no configuration has been adopted.
    :param digest: hash of the base file and all overlays.
    """

    number: int = 0
    digest: int = 0


@dataclasses.dataclass(frozen=True)
class StoredConfig:
    """
    The shared configuration as serialized in the store.

    :param number: revision number.
    :param base: YAML text of the base file.
    :param overlays: YAML text of the overlay for each site.
    :param operator: name of the operator who applied the change.
    :param reason: reason given by the operator.
    :param applied_at_s: time of the change, in seconds since the epoch.
    """

    number: int
    base: str
    overlays: dict[str, str]
    operator: str
    reason: str
    applied_at_s: float

    @property
    def revision(self) -> Revision:
        """Identifier of this configuration, computed from its contents."""
        texts = [self.base]
        for site in sorted(self.overlays):
            texts.extend((site, self.overlays[site]))
        return Revision(self.number, stable_hash(*texts) >> 1)


def should_adopt(current: Revision, offered: Revision) -> bool:
    """
    Return whether an offered revision replaces the current one.

    Only a higher number does.  A stale read, a store restored from a backup
    or a peer that was partitioned therefore cannot roll a daemon back.
    """
    return offered.number > current.number
