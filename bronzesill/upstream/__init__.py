"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerError,
    AnswerHead,
    Header,
    OnAnswerHead,
    RequestNotSent,
)
from .connection import UpstreamConnection
from .pool import ConnectionLease, ConnectionPool, Target
from .reports import CacheEvent, CacheEvents, EngineReport, RunReport
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
    'CacheEvent',
    'CacheEvents',
    'CallerFields',
    'ConnectionLease',
    'ConnectionPool',
    'Dialect',
    'EngineReport',
    'ForwardRequest',
    'Header',
    'HealthDialect',
    'KvCacheCopy',
    'OnAnswerHead',
    'ReportedLoad',
    'RequestNotSent',
    'RunReport',
    'SendPlan',
    'Target',
    'UpstreamConnection',
]
