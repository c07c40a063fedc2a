"""Calls to plain services: with retries if idempotent, or at most once."""

from .at_most_once import AtMostOnceCalls
from .durations import DurationLog, ObservedRequest, RequestSize
from .forward_sender import ForwardSender
from .idempotent import IdempotentCalls
from .interfaces import (
    CallAnswer,
    CallRequest,
    CallRunner,
    CallSender,
    RoutedCall,
)
from .servers import CallResult, ServiceServers

__all__ = [
    'AtMostOnceCalls',
    'CallAnswer',
    'CallRequest',
    'CallResult',
    'CallRunner',
    'CallSender',
    'DurationLog',
    'ForwardSender',
    'IdempotentCalls',
    'ObservedRequest',
    'RequestSize',
    'RoutedCall',
    'ServiceServers',
    'SessionSender',
    'send_call',
]
