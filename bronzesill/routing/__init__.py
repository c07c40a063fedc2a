"""Selection of the backend server and the version for a request."""

from .choose import (
    Requirements,
    choose_copy_holder,
    choose_server,
)
from .listing import ServerListing
from .records import LoadReport, ServerRecord
from .restarts import LastActivity
from .server_tracker import ServerTracker
from .use_reports import FleetUse, ServerRestart, ServerUse, UseReport
from .versions import TrafficSplit, pick_version
from .views import ServerView

__all__ = [
    'FleetUse',
    'LastActivity',
    'LoadReport',
    'Requirements',
    'ServerListing',
    'ServerRecord',
    'ServerRestart',
    'ServerTracker',
    'ServerUse',
    'ServerView',
    'TrafficSplit',
    'UseReport',
    'choose_copy_holder',
    'choose_server',
    'pick_version',
]
