"""Selection of the backend server and the version for a request."""

from .book import ServerBook
from .choose import (
    Requirements,
    choose_copy_holder,
    choose_server,
)
from .listing import Listing
from .records import LoadReport, ServerRecord
from .restarts import LastSigns
from .subsets import pick_subset
from .use_reports import FleetUse, ServerRestart, ServerUse, UseReport
from .versions import TrafficSplit, pick_version
from .views import ServerView

__all__ = [
    'FleetUse',
    'LastSigns',
    'Listing',
    'LoadReport',
    'Requirements',
    'ServerBook',
    'ServerRecord',
    'ServerRestart',
    'ServerUse',
    'ServerView',
    'TrafficSplit',
    'UseReport',
    'choose_copy_holder',
    'choose_server',
    'pick_subset',
    'pick_version',
]
