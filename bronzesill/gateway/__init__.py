"""HTTP interface for callers and operators: falcon resources and filters."""

from .disconnect import ReceiveBufferMiddleware, read_body, watch_disconnect
from .exchange import Exchange, RequestFilter, run_filters
from .filters import AssignRequestId, Authenticate, ParseJson, ReadBody
from .forwarding import ForwardComponents, ForwardResource, make_forward_app
from .rendering import AnswerRenderer, EventPosition, render_error
from .state import GatewayState

__all__ = [
    'AnswerRenderer',
    'AssignRequestId',
    'Authenticate',
    'EventPosition',
    'Exchange',
    'ForwardComponents',
    'ForwardResource',
    'GatewayState',
    'ParseJson',
    'ReadBody',
    'ReceiveBufferMiddleware',
    'RequestFilter',
    'make_forward_app',
    'read_body',
    'render_error',
    'run_filters',
    'watch_disconnect',
]
