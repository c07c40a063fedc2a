"""What a host on a hosting platform knows of itself."""

from __future__ import annotations

import dataclasses

from ..utils import Address

__all__ = ['FleetBounds', 'HostedSettings']


@dataclasses.dataclass(frozen=True)
class FleetBounds:
    """
    Bounds that hold for the whole fleet.

    :param grace_s: seconds between the word to stop and the kill.
    :param drain_s: seconds after which a leaving server gets nothing new.
    :param apply_s: seconds in which a configuration comes into force.
    :param rollback_s: seconds in which a bad version is left alone.
    :param address_ttl_s: longest time that a told address is kept.
    :param reuse_s: seconds after the end of a server in which its address
        goes to no other service.
    :param retry_ratio: retries per first try, over the whole fleet.
    :param retry_window_s: window in which retries are counted.
    :param retry_slack: retries that are free in each window.
    :param exposure_ratio: share of requests that a bad version may get.
    :param exposure_slack: requests that it may get besides.
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


@dataclasses.dataclass(frozen=True)
class HostedSettings:
    """
    Settings that the platform gives to a host.

    :param name: name of the host, unique in the fleet.
    :param region: region the host stands in.
    :param failure_domain: failure domain the host stands in.
    :param callers: address for callers.
    :param directory: address where callers ask which hosts to use.
    :param readiness: address where the platform asks for readiness.
    :param peers: address for other daemons.
    :param store: address of the platform's key-value service.
    :param metrics: address where counters are shown.
    :param bounds: bounds for the whole fleet.
    :param seeds: addresses of daemons that may live, for a start without
        the key-value service.
    :param link_mbps: what the host's link carries, 0 if not known.
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
