"""Messages by which daemons hand a configuration on."""

import dataclasses

from .revision import StoredConfig

__all__ = ['ConfigAnswer', 'FetchConfig']


@dataclasses.dataclass(frozen=True)
class FetchConfig:
    """
    Question for a configuration.

    :param above: revision number that the asker has.
    """

    above: int


@dataclasses.dataclass(frozen=True)
class ConfigAnswer:
    """
    A configuration, none if it is not newer.

    :param config: the configuration in force at the one that answers.
    """

    config: StoredConfig | None
