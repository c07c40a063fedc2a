"""Choice of a backend server and of a version."""

from .book import LoadReport, ServerBook, ServerRecord
from .choose import (
    Requirements,
    ServerView,
    choose_copy_holder,
    choose_server,
)
from .listing import Listing
from .subsets import pick_subset
from .versions import TrafficSplit, pick_version

__all__ = [
    'Listing',
    'LoadReport',
    'Requirements',
    'ServerBook',
    'ServerRecord',
    'ServerView',
    'TrafficSplit',
    'choose_copy_holder',
    'choose_server',
    'pick_subset',
    'pick_version',
]
