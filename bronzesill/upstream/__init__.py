"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerError,
    AnswerHead,
    ConnectionLost,
    Header,
    OnAnswerHead,
    PathCut,
    RequestNotSent,
    uptime_s,
)
from .client import HttpAnswer, HttpCall, ServiceClient
from .connection import UpstreamConnection
from .connectors import Connector, Dialer, DirectConnector, Reach, Target
from .pool import AnswerMemory, ConnectionLease, ConnectionPool
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

__all__ = [
    'AnswerError',
    'AnswerHead',
    'AnswerMemory',
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
    'KvCacheCopy',
    'OnAnswerHead',
    'PathCut',
    'Purpose',
    'Reach',
    'ReportedLoad',
    'RequestNotSent',
    'SendPlan',
    'ServiceClient',
    'Target',
    'UpstreamConnection',
    'uptime_s',
]
