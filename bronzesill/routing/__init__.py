"""Choice of a backend server and of a version."""

from .book import ServerBook
from .choose import (
    Requirements,
    ServerView,
    choose_copy_holder,
    choose_server,
)
from .listing import Listing
from .records import LoadReport, ServerRecord
from .subsets import pick_subset
from .use import FleetUse, ServerUse, UseReport
from .versions import TrafficSplit, pick_version

__all__ = [
    'FleetUse',
    'Listing',
    'LoadReport',
    'Requirements',
    'ServerBook',
    'ServerRecord',
    'ServerUse',
    'ServerView',
    'TrafficSplit',
    'UseReport',
    'choose_copy_holder',
    'choose_server',
    'pick_subset',
    'pick_version',
]
