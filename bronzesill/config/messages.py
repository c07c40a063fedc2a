"""Messages with which daemons fetch a configuration from a peer."""

import dataclasses

from .revision import StoredConfig

__all__ = ['ConfigAnswer', 'FetchConfig']


@dataclasses.dataclass(frozen=True)
class FetchConfig:
    """
    Request for a newer configuration.

    :param newer_than: revision number in force at the requester.
    """

    newer_than: int


@dataclasses.dataclass(frozen=True)
class ConfigAnswer:
    """
    Response to :class:`FetchConfig`.

    :param config: configuration in force at the responder, ``None`` if it is
        not newer than the requester's.
    """

    config: StoredConfig | None
