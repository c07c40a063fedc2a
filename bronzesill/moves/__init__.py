"""Moves of traffic from one version to another."""

from .book import MoveBook
from .controller import Driver, MovesController
from .evidence import EngineEvidence, Evidence, bucket_of_s
from .facts import fact_of
from .judge import Judge, JudgePolicy, Opinion
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
    'Driver',
    'EngineEvidence',
    'Evidence',
    'Judge',
    'JudgePolicy',
    'KnownMove',
    'MoveBook',
    'MoveDecision',
    'MoveOrder',
    'MovePlan',
    'MoveProgress',
    'MoveRecord',
    'MoveReport',
    'MoveState',
    'MovesController',
    'Observation',
    'Opinion',
    'OrderStatus',
    'ReportTaken',
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
