"""Gossip-based failure detection and dissemination of facts."""

from .controller import MembershipController, MembershipQueue
from .events import (
    FactPublished,
    MessageArrived,
    Send,
    Tick,
    ViewFetched,
    ViewUpdated,
)
from .facts import Fact, FactKind
from .gossip import step
from .members import Liveness, Member
from .messages import (
    Ack,
    BucketHashes,
    Entries,
    FetchView,
    GossipUpdates,
    Ping,
    PingRequest,
    View,
)
from .roles import (
    FleetRoles,
    choose_collectors,
    choose_entries,
    choose_replicas,
    choose_watchers,
    is_watcher,
)
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
    'FleetRoles',
    'FleetView',
    'GossipPolicy',
    'GossipState',
    'GossipUpdates',
    'Liveness',
    'Member',
    'MembershipController',
    'MembershipQueue',
    'MessageArrived',
    'Ping',
    'PingRequest',
    'Send',
    'Step',
    'Tick',
    'View',
    'ViewFetched',
    'ViewUpdated',
    'choose_collectors',
    'choose_entries',
    'choose_replicas',
    'choose_watchers',
    'is_watcher',
    'step',
]
