"""Calls to plain services: repeated where allowed, else at most once."""

from .interfaces import CallRunner, RoutedCall
from .ledger import (
    CallClaim,
    CallOutcome,
    ClaimAnswer,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
    Verdict,
)
from .ledger_client import Ledger, Owner
from .ledger_messages import ClaimCall, RecordCall, Recorded, ReleaseCall
from .pass_through import CallAnswer, CallRequest, send_call
from .runner import RouteRunner
from .servers import ServiceServers

__all__ = [
    'CallAnswer',
    'CallClaim',
    'CallOutcome',
    'CallRequest',
    'CallRunner',
    'ClaimAnswer',
    'ClaimCall',
    'Ledger',
    'LedgerIndex',
    'LedgerRecord',
    'Owner',
    'RecordCall',
    'RecordKind',
    'Recorded',
    'ReleaseCall',
    'RouteRunner',
    'RoutedCall',
    'ServiceServers',
    'Verdict',
    'send_call',
]
