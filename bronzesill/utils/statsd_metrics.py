"""Metrics that are sent to a statsd server."""

from __future__ import annotations

import statsd

from .addresses import Address
from .metrics import Metrics, NullMetrics

__all__ = ['connect_metrics']


def connect_metrics(address: Address | None, host_name: str) -> Metrics:
    """
    Return a client that sends metrics to a statsd server.

    :param address: address of the server; metrics are discarded if none.
    :param host_name: name of the host, used as part of the metric prefix.
    """
    if address is None:
        return NullMetrics()
    client: Metrics = statsd.StatsClient(
        address.ip, address.port, prefix=f'bronzesill.{host_name}'
    )
    return client
