"""Gossip-based failure detection and dissemination of facts."""

from .controller import MembershipController, MembershipMailbox
from .events import (
    FactPublished,
    MessageArrived,
    News,
    Send,
    Tick,
    ViewFetched,
)
from .facts import Fact, FactKind
from .gossip import step
from .members import Liveness, Member
from .messages import (
    Ack,
    BucketHashes,
    Entries,
    FetchView,
    Ping,
    PingRequest,
    Rumours,
    View,
)
from .roles import choose_entries, choose_homes, choose_watchers, is_watcher
from .state import GossipPolicy, GossipState, Step
from .view import FleetView

__all__ = [
    'Ack',
    'BucketHashes',
    'Entries',
    'Fact',
    'FactKind',
    'FactPublished',
    'FetchView',
    'FleetView',
    'GossipPolicy',
    'GossipState',
    'Liveness',
    'Member',
    'MembershipController',
    'MembershipMailbox',
    'MessageArrived',
    'News',
    'Ping',
    'PingRequest',
    'Rumours',
    'Send',
    'Step',
    'Tick',
    'View',
    'ViewFetched',
    'choose_entries',
    'choose_homes',
    'choose_watchers',
    'is_watcher',
    'step',
]
