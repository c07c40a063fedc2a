"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerError,
    AnswerHead,
    ConnectionLost,
    Header,
    OnAnswerHead,
    RequestNotSent,
)
from .client import HttpAnswer, HttpCall, ServiceClient
from .connection import UpstreamConnection
from .pool import ConnectionLease, ConnectionPool, Target
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
    'CallerFields',
    'ConnectionLease',
    'ConnectionLost',
    'ConnectionPool',
    'Dialect',
    'ForwardRequest',
    'Header',
    'HealthDialect',
    'HttpAnswer',
    'HttpCall',
    'KvCacheCopy',
    'OnAnswerHead',
    'ReportedLoad',
    'RequestNotSent',
    'SendPlan',
    'ServiceClient',
    'Target',
    'UpstreamConnection',
]
