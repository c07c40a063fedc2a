"""Host settings and the configuration shared by all hosts."""

from .document import (
    BackendServer,
    ClientAccount,
    Document,
    EngineCapabilities,
    Limits,
    Model,
    Operator,
    Preferences,
    RegisteredServer,
    RequestPriority,
    Route,
    Service,
)
from .hosted import FleetBounds, HostedSettings, VersionedDocument

__all__ = [
    'BackendServer',
    'ClientAccount',
    'Document',
    'EngineCapabilities',
    'FleetBounds',
    'HostedSettings',
    'Limits',
    'Model',
    'Operator',
    'Preferences',
    'RegisteredServer',
    'RequestPriority',
    'Route',
    'Service',
    'VersionedDocument',
]
