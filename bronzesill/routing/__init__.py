"""Selection of the backend server and the version for a request."""

from .choose import (
    Requirements,
    choose_copy_holder,
    choose_held_server,
    choose_prompt_holder,
    choose_server,
    count_free,
)
from .event_pace import EventPace
from .expected_time import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    ExpectedTime,
    ServiceRates,
    StreamSize,
)
from .listing import ServerListing
from .records import LoadReport, ServerRecord
from .request_limits import (
    FleetPosition,
    RejectionLimits,
    RequestLimits,
    ServerRoom,
)
from .restarts import LastActivity
from .server_tracker import ServerTracker
from .service_summary import ServiceSummary, summarize_services
from .use_reports import (
    FetchUse,
    FleetUse,
    ServerPace,
    ServerRestart,
    ServerUse,
    SharedNews,
    SharingPeers,
    UseReport,
    WaitingCount,
    choose_recipients,
    news_of,
    without_heard_restarts,
)
from .versions import TrafficSplit, pick_version
from .views import ServerView

__all__ = [
    'DEFAULT_PREFILL_TOKENS_PER_S',
    'EventPace',
    'ExpectedTime',
    'FetchUse',
    'FleetPosition',
    'FleetUse',
    'LastActivity',
    'LoadReport',
    'RejectionLimits',
    'RequestLimits',
    'Requirements',
    'ServerListing',
    'ServerPace',
    'ServerRecord',
    'ServerRestart',
    'ServerRoom',
    'ServerTracker',
    'ServerUse',
    'ServerView',
    'ServiceRates',
    'ServiceSummary',
    'SharedNews',
    'SharingPeers',
    'StreamSize',
    'TrafficSplit',
    'UseReport',
    'WaitingCount',
    'choose_copy_holder',
    'choose_held_server',
    'choose_prompt_holder',
    'choose_recipients',
    'choose_server',
    'count_free',
    'news_of',
    'pick_version',
    'summarize_services',
    'without_heard_restarts',
]
