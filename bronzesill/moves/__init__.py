"""Moves of traffic from one version to another."""

from .book import MoveBook
from .controller import Driver, MovesController
from .evidence import EngineEvidence, Evidence, bucket_of_s
from .judge import Judge, JudgePolicy, Opinion
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
from .split import KnownMove, effective_share, split_of

__all__ = [
    'ALL_ROUTES',
    'Driver',
    'EngineEvidence',
    'Evidence',
    'Judge',
    'JudgePolicy',
    'KnownMove',
    'MoveBook',
    'MoveDecision',
    'MovePlan',
    'MoveProgress',
    'MoveRecord',
    'MoveReport',
    'MoveState',
    'MovesController',
    'Observation',
    'Opinion',
    'ReportTaken',
    'Stage',
    'Verdict',
    'bucket_of_s',
    'decide',
    'effective_share',
    'has_ended',
    'split_of',
]
