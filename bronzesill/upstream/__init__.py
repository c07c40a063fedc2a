"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerDropped,
    AnswerError,
    AnswerHead,
    AnswerUnread,
    ConnectionLost,
    Header,
    InvalidAnswer,
    OnAnswerHead,
    PathCut,
    RequestNotSent,
    RequestUnread,
    require_answer_status,
    uptime_s,
)
from .client import HttpAnswer, HttpCall, ServiceClient
from .completeness import RESET_WAIT_S, needs_reset_wait
from .connection import UpstreamConnection
from .connectors import Connector, Dialer, DirectConnector, Reach, Target
from .memory import AnswerMemory, MemoryUse
from .pool import ConnectionLease, ConnectionPool
from .purposes import ConnectionCounts, Purpose
from .request import (
    CallerFields,
    Dialect,
    ForwardRequest,
    HealthDialect,
    KvCacheCopy,
    ReportedLoad,
    SendPlan,
)
from .sent_bytes import count_unsent, is_reset

__all__ = [
    'RESET_WAIT_S',
    'AnswerDropped',
    'AnswerError',
    'AnswerHead',
    'AnswerMemory',
    'AnswerUnread',
    'CallerFields',
    'ConnectionCounts',
    'ConnectionLease',
    'ConnectionLost',
    'ConnectionPool',
    'Connector',
    'Dialect',
    'Dialer',
    'DirectConnector',
    'ForwardRequest',
    'Header',
    'HealthDialect',
    'HttpAnswer',
    'HttpCall',
    'InvalidAnswer',
    'KvCacheCopy',
    'MemoryUse',
    'OnAnswerHead',
    'PathCut',
    'Purpose',
    'Reach',
    'ReportedLoad',
    'RequestNotSent',
    'RequestUnread',
    'SendPlan',
    'ServiceClient',
    'Target',
    'UpstreamConnection',
    'count_unsent',
    'is_reset',
    'needs_reset_wait',
    'require_answer_status',
    'uptime_s',
]
