"""Utilities shared by the other subpackages."""

from .addresses import Address, has_pending_end, limit_silence
from .converter import (
    MAX_INTEGER,
    DocumentInvalid,
    parse_integer,
    read_flag,
    read_integer,
    read_name,
    read_number,
    structure,
    structure_fields,
    structure_json,
    unstructure,
    unstructure_fields,
)
from .errors import BronzesillError, ResultCode
from .hashing import (
    chain_digest,
    hash_secret,
    rank_by_rendezvous,
    stable_hash,
)
from .logs import (
    PartLogger,
    StepLog,
    configure_logging,
    filter_server_logs,
    log_unexpected,
)
from .metrics import Metrics, NullMetrics, PrometheusMetrics
from .serving import TARGET_KEY, HttpServer, ServingLimits

__all__ = [
    'MAX_INTEGER',
    'TARGET_KEY',
    'Address',
    'BronzesillError',
    'DocumentInvalid',
    'HttpServer',
    'Metrics',
    'NullMetrics',
    'PartLogger',
    'PrometheusMetrics',
    'ResultCode',
    'ServingLimits',
    'StepLog',
    'chain_digest',
    'configure_logging',
    'filter_server_logs',
    'has_pending_end',
    'hash_secret',
    'limit_silence',
    'log_unexpected',
    'parse_integer',
    'rank_by_rendezvous',
    'read_flag',
    'read_integer',
    'read_name',
    'read_number',
    'stable_hash',
    'structure',
    'structure_fields',
    'structure_json',
    'unstructure',
    'unstructure_fields',
]
