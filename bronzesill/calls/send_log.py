"""Log events for attempts to send a call."""

from __future__ import annotations

from ..utils import BronzesillError, PartLogger
from .call_messages import CallAnswer
from .interfaces import RoutedCall

__all__ = ['log_send']

_log = PartLogger('calls')


def log_send(
    routed: RoutedCall,
    server: str,
    outcome: CallAnswer | BronzesillError | None,
    latency_s: float,
) -> None:
    """
    Log an attempt to send a call, with its outcome.

    :param routed: the call.
    :param server: name of the server that the call was sent to.
    :param outcome: response or error, none if the attempt was cancelled.
    :param latency_s: duration of the attempt in seconds.
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
