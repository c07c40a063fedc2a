"""Gradual moves of traffic from one version of a subject to another."""

from .book import MoveTable
from .controller import Driver, MovesController
from .evidence import EngineEvidence, Evidence, bucket_of_s
from .facts import fact_of
from .judge import ComparisonOutcome, ComparisonPolicy, SequentialComparison
from .order import MoveOrder, OrderStatus
from .policy import (
    ALL_ROUTES,
    MoveDecision,
    MovePlan,
    MoveProgress,
    Stage,
    Verdict,
    decide,
)
from .record import MoveRecord, MoveState, has_ended
from .reports import MoveReport, Observation, ReportTaken
from .repository import MOVE_PREFIX, record_from_entry
from .split import KnownMove, effective_share, split_of
from .telling import should_tell, status_of

__all__ = [
    'ALL_ROUTES',
    'MOVE_PREFIX',
    'ComparisonOutcome',
    'ComparisonPolicy',
    'Driver',
    'EngineEvidence',
    'Evidence',
    'KnownMove',
    'MoveDecision',
    'MoveOrder',
    'MovePlan',
    'MoveProgress',
    'MoveRecord',
    'MoveReport',
    'MoveState',
    'MoveTable',
    'MovesController',
    'Observation',
    'OrderStatus',
    'ReportTaken',
    'SequentialComparison',
    'Stage',
    'Verdict',
    'bucket_of_s',
    'decide',
    'effective_share',
    'fact_of',
    'has_ended',
    'record_from_entry',
    'should_tell',
    'split_of',
    'status_of',
]
