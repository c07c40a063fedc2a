"""Calls to plain services: with retries if idempotent, or at most once."""

from .at_most_once import AtMostOnceCalls
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
    'ForwardSender',
    'IdempotentCalls',
    'RoutedCall',
    'ServiceServers',
    'SessionSender',
    'send_call',
]
