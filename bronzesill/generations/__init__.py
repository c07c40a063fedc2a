"""Generation of answers by model engines, with resume and reconnect."""

from .attempt_placement import AttemptPlacer
from .controller import GenerationsController, GenerationSettings
from .decisions import decide
from .event_stream import EventSplitter, StreamEvent
from .forward_client import ForwardStreamClient
from .locations import (
    LocalDirectory,
    LocationDirectory,
    LocationRecord,
    LocationTable,
)
from .observer import AttemptObservation
from .request import GenerationRequest
from .stall_detection import AttemptTimings, GapEstimate, StallPolicy
from .state import Decision, GenerationState, Phase
from .stream_client import StreamClient
from .stream_queue import WaitingStreams
from .subscription import (
    AcceptedTokens,
    AnswerCompleted,
    AnswerFailed,
    AnswerStarted,
    Subscription,
)

__all__ = [
    'AcceptedTokens',
    'AnswerCompleted',
    'AnswerFailed',
    'AnswerStarted',
    'AttemptObservation',
    'AttemptPlacer',
    'AttemptTimings',
    'Decision',
    'EventSplitter',
    'ForwardStreamClient',
    'GapEstimate',
    'GenerationRequest',
    'GenerationSettings',
    'GenerationState',
    'GenerationsController',
    'LocalDirectory',
    'LocationDirectory',
    'LocationRecord',
    'LocationTable',
    'Phase',
    'StallPolicy',
    'StreamClient',
    'StreamEvent',
    'Subscription',
    'WaitingStreams',
    'decide',
]
