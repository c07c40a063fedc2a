"""Replica of the store's keys in a daemon, and the task that follows them."""

from .follower import FollowPolicy, StoreFollower
from .messages import FetchReplica, ReplicaAnswer, ReplicaEntry
from .state import (
    MergeResult,
    Replica,
    answer_fetch,
    merge,
    merge_answer,
    merge_changes,
    merge_snapshot,
)

__all__ = [
    'FetchReplica',
    'FollowPolicy',
    'MergeResult',
    'Replica',
    'ReplicaAnswer',
    'ReplicaEntry',
    'StoreFollower',
    'answer_fetch',
    'merge',
    'merge_answer',
    'merge_changes',
    'merge_snapshot',
]
