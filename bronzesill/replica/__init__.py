"""Replica of the store's keys in a daemon, and the task that follows them."""

from .follower import FollowedState, FollowPolicy, StoreFollower
from .freshness import FreshnessBudget, confirmation_time_s
from .messages import FetchReplica, ReplicaAnswer, ReplicaEntry
from .state import (
    MergeResult,
    Replica,
    answer_fetch,
    complete_to,
    merge,
    merge_answer,
    merge_changes,
    merge_snapshot,
)

__all__ = [
    'FetchReplica',
    'FollowPolicy',
    'FollowedState',
    'FreshnessBudget',
    'MergeResult',
    'Replica',
    'ReplicaAnswer',
    'ReplicaEntry',
    'StoreFollower',
    'answer_fetch',
    'complete_to',
    'confirmation_time_s',
    'merge',
    'merge_answer',
    'merge_changes',
    'merge_snapshot',
]
