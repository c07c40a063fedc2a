"""Local settings of a host, read once at startup."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import yaml

from ..utils import Address, DocumentInvalid, structure

__all__ = ['DaemonSettings']

_LOG_LEVELS = frozenset(('debug', 'info', 'warning', 'error'))


@dataclasses.dataclass(frozen=True)
class DaemonSettings:
    """
    Settings of a host and addresses of the platform's services.

    :param name: name of the host, unique in the fleet.
    :param region: region of the host.
    :param failure_domain: failure domain of the host.
    :param callers: address for callers and operators (HTTP).
    :param peers: address for other daemons (TCP streams and UDP datagrams).
    :param store: address of the platform's key-value service.
    :param host_list: address of the platform's host list service.
    :param site: site whose overlay applies.
    :param seeds: peers to join through, besides those on the host list.
    :param statsd: address of the StatsD collector, ``None`` to send no metrics.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    name: str
    region: str
    failure_domain: str
    callers: Address
    peers: Address
    store: Address
    host_list: Address
    site: str
    seeds: list[Address] = dataclasses.field(default_factory=list)
    statsd: Address | None = None
    log_level: str = 'info'

    @classmethod
    def from_file(cls, path: Path) -> DaemonSettings:
        """
        Read and validate a YAML settings file.

        :param path: path of the file.
        :raises DocumentInvalid: if a setting is invalid; lists the errors
            with their paths in the document.
        :raises OSError: if the file cannot be read.
        """
        try:
            document = yaml.safe_load(path.read_text())
        except yaml.YAMLError as error:
            raise DocumentInvalid((f'not YAML: {error}',)) from error
        settings = structure(document, cls)
        if settings.log_level not in _LOG_LEVELS:
            levels = ', '.join(sorted(_LOG_LEVELS))
            raise DocumentInvalid(
                (f'expected one of {levels} @ $.log_level',),
            )
        return settings
