"""Calls to plain services: with retries if idempotent, or at most once."""

from .at_most_once import AtMostOnceCalls
from .idempotent import IdempotentCalls
from .interfaces import CallRunner, CallSender, RoutedCall
from .ledger import (
    CallClaim,
    CallOutcome,
    ClaimAnswer,
    ClaimVerdict,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
)
from .ledger_client import Ledger, Owner
from .ledger_messages import ClaimCall, RecordCall, RecordReply, ReleaseCall
from .pass_through import CallAnswer, CallRequest, send_call
from .runner import RouteRunner
from .senders import ForwardSender, SessionSender
from .servers import CallResult, ServiceServers

__all__ = [
    'AtMostOnceCalls',
    'CallAnswer',
    'CallClaim',
    'CallOutcome',
    'CallRequest',
    'CallResult',
    'CallRunner',
    'CallSender',
    'ClaimAnswer',
    'ClaimCall',
    'ClaimVerdict',
    'ForwardSender',
    'IdempotentCalls',
    'Ledger',
    'LedgerIndex',
    'LedgerRecord',
    'Owner',
    'RecordCall',
    'RecordKind',
    'RecordReply',
    'ReleaseCall',
    'RouteRunner',
    'RoutedCall',
    'ServiceServers',
    'SessionSender',
    'send_call',
]
