"""Settings of a host that runs on a hosting platform."""

from __future__ import annotations

import dataclasses

from ..utils import Address
from .document import Document

__all__ = ['FleetBounds', 'HostedSettings', 'VersionedDocument']


@dataclasses.dataclass(frozen=True)
class FleetBounds:
    """
    Limits that apply to the whole fleet.

    :param grace_s: seconds between the stop signal and the kill.
    :param drain_s: seconds within which a leaving server stops receiving new
        requests.
    :param apply_s: seconds within which a configuration takes effect.
    :param rollback_s: seconds within which a bad version stops receiving
        requests.
    :param address_ttl_s: maximum time for which callers cache an address, in
        seconds.
    :param reuse_s: seconds after a server ends during which its address is
        not reassigned to another service.
    :param retry_ratio: maximum retries per first attempt over the fleet.
    :param retry_window_s: length of the window for counting retries, in
        seconds.
    :param retry_slack: retries allowed in each window besides the ratio.
    :param exposure_ratio: maximum share of requests sent to a bad version.
    :param exposure_slack: requests allowed to a bad version besides the
        share.
    """

    grace_s: float = 8
    drain_s: float = 2
    apply_s: float = 2
    rollback_s: float = 5
    address_ttl_s: float = 5
    reuse_s: float = 0
    retry_ratio: float = 0.8
    retry_window_s: float = 10
    retry_slack: float = 150
    exposure_ratio: float = 0.1
    exposure_slack: float = 50

    @property
    def knowledge_s(self) -> float:
        """Seconds within which what the store says has to be heeded."""
        return min(self.apply_s, self.drain_s)


@dataclasses.dataclass(frozen=True)
class HostedSettings:
    """
    Settings that the platform assigns to a host.

    :param name: name of the host, unique in the fleet.
    :param region: region of the host.
    :param failure_domain: failure domain of the host.
    :param callers: address for callers.
    :param directory: address of the HTTP service that lists hosts for callers.
    :param readiness: address of the readiness endpoint for the platform.
    :param peers: address for other daemons.
    :param store: address of the platform's key-value service.
    :param metrics: address of the metrics endpoint.
    :param bounds: bounds for the whole fleet.
    :param seeds: peer addresses to join through if the key-value service is
        unavailable at startup.
    :param link_mbps: bandwidth of the host's link in Mbit/s, 0 if unknown.
    :param memory_mb: memory that the host may use in MB, 0 if unknown.
    """

    name: str
    region: str
    failure_domain: str
    callers: Address
    directory: Address
    readiness: Address
    peers: Address
    store: Address
    metrics: Address
    bounds: FleetBounds = dataclasses.field(default_factory=FleetBounds)
    seeds: tuple[Address, ...] = ()
    link_mbps: float = 0
    memory_mb: float = 0


@dataclasses.dataclass(frozen=True)
class VersionedDocument:
    """
    A configuration as operators wrote it to the key-value service.

    :param version: number that increases with each configuration, 0 if it is
        not stated.
    :param document: the configuration.
    """

    version: int
    document: Document
