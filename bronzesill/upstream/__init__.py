"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerError,
    AnswerHead,
    ConnectionLost,
    Header,
    InvalidAnswer,
    OnAnswerHead,
    PathCut,
    RequestNotSent,
    require_answer_status,
    uptime_s,
)
from .client import HttpAnswer, HttpCall, ServiceClient
from .connection import UpstreamConnection
from .connectors import Connector, Dialer, DirectConnector, Reach, Target
from .pool import AnswerMemory, ConnectionLease, ConnectionPool
from .request import (
    CallerFields,
    Dialect,
    ForwardRequest,
    HealthDialect,
    KvCacheCopy,
    ReportedLoad,
    SendPlan,
)

__all__ = [
    'AnswerError',
    'AnswerHead',
    'AnswerMemory',
    'CallerFields',
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
    'OnAnswerHead',
    'PathCut',
    'Reach',
    'ReportedLoad',
    'RequestNotSent',
    'SendPlan',
    'ServiceClient',
    'Target',
    'UpstreamConnection',
    'require_answer_status',
    'uptime_s',
]
