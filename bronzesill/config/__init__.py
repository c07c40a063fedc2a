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
    Route,
    Service,
)
from .hosted import FleetBounds, HostedSettings
from .messages import ConfigAnswer, FetchConfig
from .overlay import build_document, merge_overlay, parse_yaml
from .repository import (
    CONFIG_KEY,
    ConfigChange,
    ConfigRepository,
    VersionedConfig,
    parse_stored,
)
from .revision import Revision, StoredConfig, should_adopt
from .settings import DaemonSettings

__all__ = [
    'CONFIG_KEY',
    'BackendServer',
    'ClientAccount',
    'ConfigAnswer',
    'ConfigChange',
    'ConfigRepository',
    'DaemonSettings',
    'Document',
    'EngineCapabilities',
    'FetchConfig',
    'FleetBounds',
    'HostedSettings',
    'Limits',
    'Model',
    'Operator',
    'Preferences',
    'RegisteredServer',
    'Revision',
    'Route',
    'Service',
    'StoredConfig',
    'VersionedConfig',
    'build_document',
    'merge_overlay',
    'parse_stored',
    'parse_yaml',
    'should_adopt',
]
