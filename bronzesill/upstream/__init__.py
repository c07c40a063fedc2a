"""HTTP connections to backend servers, and the types of their messages."""

from .answer import (
    AnswerBroken,
    AnswerHead,
    Header,
    NotSent,
    OnAnswerHead,
)
from .connection import UpstreamConnection
from .pool import ConnectionPool, Lease, Target
from .reports import CacheEvent, CacheEvents, EngineReport, RunReport
from .request import (
    CallerFields,
    Dialect,
    ForwardRequest,
    HealthDialect,
    MemoryCopy,
    ReportedLoad,
    SendPlan,
)

__all__ = [
    'AnswerBroken',
    'AnswerHead',
    'CacheEvent',
    'CacheEvents',
    'CallerFields',
    'ConnectionPool',
    'Dialect',
    'EngineReport',
    'ForwardRequest',
    'Header',
    'HealthDialect',
    'Lease',
    'MemoryCopy',
    'NotSent',
    'OnAnswerHead',
    'ReportedLoad',
    'RunReport',
    'SendPlan',
    'Target',
    'UpstreamConnection',
]
