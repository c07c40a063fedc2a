"""Replica of the store's keys in a daemon, and the task that follows them."""

from .follower import FollowPolicy, StoreFollower
from .messages import FetchReplica, ReplicaAnswer, ReplicaEntry
from .state import Merge, Replica, merge, replace_prefix

__all__ = [
    'FetchReplica',
    'FollowPolicy',
    'Merge',
    'Replica',
    'ReplicaAnswer',
    'ReplicaEntry',
    'StoreFollower',
    'merge',
    'replace_prefix',
]
