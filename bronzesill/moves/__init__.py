"""Gradual moves of traffic from one version of a subject to another."""

from .comparison import (
    ComparisonOutcome,
    ComparisonPolicy,
    SequentialComparison,
)
from .controller import Driver, MovesController, find_drivers, find_others
from .evidence import Evidence, ServerEvidence, bucket_of_s
from .exposure import ExposureLimit
from .move_table import KnownMove, MoveTable, effective_share, split_of
from .order import (
    MoveOrder,
    OrderStatus,
    find_move_id,
    should_publish_status,
    status_of,
)
from .plan import MovePlan, Stage
from .policy import (
    ALL_ROUTES,
    MoveAction,
    MoveDecision,
    MoveProgress,
    decide,
)
from .record import MoveRecord, MoveState, fact_of, has_ended
from .reports import (
    FetchMoveTotals,
    MoveReport,
    MoveReportReply,
    MoveTotals,
    Observation,
)
from .repository import MOVE_PREFIX, record_from_entry

__all__ = [
    'ALL_ROUTES',
    'MOVE_PREFIX',
    'ComparisonOutcome',
    'ComparisonPolicy',
    'Driver',
    'Evidence',
    'ExposureLimit',
    'FetchMoveTotals',
    'KnownMove',
    'MoveAction',
    'MoveDecision',
    'MoveOrder',
    'MovePlan',
    'MoveProgress',
    'MoveRecord',
    'MoveReport',
    'MoveReportReply',
    'MoveState',
    'MoveTable',
    'MoveTotals',
    'MovesController',
    'Observation',
    'OrderStatus',
    'SequentialComparison',
    'ServerEvidence',
    'Stage',
    'bucket_of_s',
    'decide',
    'effective_share',
    'fact_of',
    'find_drivers',
    'find_move_id',
    'find_others',
    'has_ended',
    'record_from_entry',
    'should_publish_status',
    'split_of',
    'status_of',
]
