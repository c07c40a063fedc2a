"""Revisions of the configuration: which one to adopt."""

import dataclasses

from ..utils import stable_hash

__all__ = ['Revision', 'StoredConfig', 'should_adopt']


@dataclasses.dataclass(frozen=True, order=True)
class Revision:
    """
    Identity of a configuration.

    :param number: grows by one with each accepted change, 0 for none.
    :param digest: hash of the two files' texts.
    """

    number: int = 0
    digest: int = 0


@dataclasses.dataclass(frozen=True)
class StoredConfig:
    """
    The shared configuration as the store keeps it.

    :param number: revision number.
    :param base: YAML text of the base file.
    :param overlays: YAML text of the overlay by site.
    :param operator: who applied it.
    :param reason: why.
    :param applied_at_s: when, in seconds since the epoch.
    """

    number: int
    base: str
    overlays: dict[str, str]
    operator: str
    reason: str
    applied_at_s: float

    @property
    def revision(self) -> Revision:
        """Identity of this configuration."""
        texts = [self.base]
        for site in sorted(self.overlays):
            texts.extend((site, self.overlays[site]))
        return Revision(self.number, stable_hash(*texts) >> 1)


def should_adopt(current: Revision, offered: Revision) -> bool:
    """
    Decide whether an offered revision replaces the current one.

    Only a larger number does, so that a lagging reader, a restored store or
    a peer that was cut off never takes a daemon back.
    """
    return offered.number > current.number
