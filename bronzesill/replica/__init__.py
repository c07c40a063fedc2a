"""What a daemon keeps of the store's keys, and how it follows them."""

from .follower import FollowPolicy, StoreFollower
from .state import Merge, Replica, merge, replace_prefix

__all__ = [
    'FollowPolicy',
    'Merge',
    'Replica',
    'StoreFollower',
    'merge',
    'replace_prefix',
]
