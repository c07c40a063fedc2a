"""Generation of answers by model engines, with resume and reconnect."""

from .attempt_timings import AttemptTimings
from .controller import GenerationsController, GenerationSettings
from .decisions import decide
from .engine_client import EngineClient, StreamClient
from .event_stream import EventSplitter, StreamEvent
from .forward_client import ForwardStreamClient
from .location_messages import (
    ClaimLocation,
    FindLocation,
    LocationAnswer,
    TakeOverLocation,
)
from .locations import (
    LocalDirectory,
    LocationDirectory,
    LocationRecord,
    LocationTable,
)
from .observer import AttemptObservation
from .peer_directory import HomeDaemon, PeerDirectory, handle_location_query
from .request import GenerationRequest
from .stall_detection import GapEstimate, StallPolicy
from .state import Decision, GenerationState, Phase
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
    'AttemptTimings',
    'ClaimLocation',
    'Decision',
    'EngineClient',
    'EventSplitter',
    'FindLocation',
    'ForwardStreamClient',
    'GapEstimate',
    'GenerationRequest',
    'GenerationSettings',
    'GenerationState',
    'GenerationsController',
    'HomeDaemon',
    'LocalDirectory',
    'LocationAnswer',
    'LocationDirectory',
    'LocationRecord',
    'LocationTable',
    'PeerDirectory',
    'Phase',
    'StallPolicy',
    'StreamClient',
    'StreamEvent',
    'Subscription',
    'TakeOverLocation',
    'decide',
    'handle_location_query',
]
