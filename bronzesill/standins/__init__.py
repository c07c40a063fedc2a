"""
Stand-ins for external systems, for tests and demonstrations.

The engine, the service, the store and the list of hosts can each be started
alone with ``python -m bronzesill.standins``.
"""

from .batch import EngineProfile
from .engine import EngineStandIn
from .hosts import HostListStandIn
from .service import ServiceStandIn
from .store import StoreStandIn
from .tokens import expected_tokens

__all__ = [
    'EngineProfile',
    'EngineStandIn',
    'HostListStandIn',
    'ServiceStandIn',
    'StoreStandIn',
    'expected_tokens',
]
