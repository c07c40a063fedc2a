"""HTTP interface for callers and operators: falcon resources and filters."""

from .admin import AdminResource, DaemonStatus, StatusSource
from .app import make_app
from .completions import CompletionsResource
from .disconnect import ReceiveBufferMiddleware, read_body, watch_disconnect
from .exchange import Exchange, RequestFilter, run_filters
from .filters import AssignRequestId, Authenticate, ParseJson, ReadBody
from .forwarding import ForwardComponents, ForwardResource, make_forward_app
from .information import InformationResource
from .move_admin import MoveAdminResource
from .order_admin import OrderAdminResource
from .plain_calls import PlainCallsResource
from .rendering import AnswerRenderer, EventPosition, render_error
from .state import GatewayState

__all__ = [
    'AdminResource',
    'AnswerRenderer',
    'AssignRequestId',
    'Authenticate',
    'CompletionsResource',
    'DaemonStatus',
    'EventPosition',
    'Exchange',
    'ForwardComponents',
    'ForwardResource',
    'GatewayState',
    'InformationResource',
    'MoveAdminResource',
    'OrderAdminResource',
    'ParseJson',
    'PlainCallsResource',
    'ReadBody',
    'ReceiveBufferMiddleware',
    'RequestFilter',
    'StatusSource',
    'make_app',
    'make_forward_app',
    'read_body',
    'render_error',
    'run_filters',
    'watch_disconnect',
]
