"""Generation of answers by model engines, with resume and reconnect."""

from .controller import GenerationsController, Site
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
from .observer import AttemptSeen
from .pace import GapEstimate, StallPolicy
from .peer_directory import Home, PeerDirectory, answer_location
from .request import GenerationRequest
from .state import Decision, GenerationState, Phase
from .stopwatch import Stopwatch
from .subscription import Ended, Failed, Opened, Piece, Subscription

__all__ = [
    'AttemptSeen',
    'ClaimLocation',
    'Decision',
    'Ended',
    'EngineClient',
    'EventSplitter',
    'Failed',
    'FindLocation',
    'ForwardStreamClient',
    'GapEstimate',
    'GenerationRequest',
    'GenerationState',
    'GenerationsController',
    'Home',
    'LocalDirectory',
    'LocationAnswer',
    'LocationDirectory',
    'LocationRecord',
    'LocationTable',
    'Opened',
    'PeerDirectory',
    'Phase',
    'Piece',
    'Site',
    'StallPolicy',
    'Stopwatch',
    'StreamClient',
    'StreamEvent',
    'Subscription',
    'TakeOverLocation',
    'answer_location',
    'decide',
]
