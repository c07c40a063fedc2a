"""One log line for each send of a call."""

from __future__ import annotations

from ..utils import BronzesillError, PartLogger
from .interfaces import RoutedCall
from .pass_through import CallAnswer

__all__ = ['log_send']

_log = PartLogger('calls')


def log_send(
    routed: RoutedCall,
    server: str,
    outcome: CallAnswer | BronzesillError | None,
    latency_s: float,
) -> None:
    """
    Log a send with its outcome.

    :param routed: the call.
    :param server: name of the server that it was sent to.
    :param outcome: answer or failure, none if nobody waits any more.
    :param latency_s: seconds that it took.
    """
    status = 0
    detail = 'given up'
    if isinstance(outcome, CallAnswer):
        status = outcome.status
        detail = ''
    elif outcome is not None:
        detail = outcome.message
    _log.event(
        'call_sent',
        request=routed.request_id,
        route=routed.route_name,
        server=server,
        status=status,
        detail=detail,
        latency_s=round(latency_s, 4),
    )
