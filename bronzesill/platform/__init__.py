"""
Adapters between the platform's names, formats and calls and the product's own.

The package only translates; decisions are made by the packages that use it.
"""

from .documents import CONFIGURATION_KEY, decode_document
from .headers import PlatformDialect
from .http_apps import make_directory_app, make_readiness_app
from .rollouts import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
    status_mutation,
)
from .servers import (
    HOST_PREFIX,
    SERVER_PREFIX,
    decode_server,
    server_name,
)
from .settings import SETTINGS_VARIABLE, decode_settings, read_settings
from .store import ALL_KEYS, PlatformStore

__all__ = [
    'ALL_KEYS',
    'CONFIGURATION_KEY',
    'HOST_PREFIX',
    'ORDER_PREFIX',
    'SERVER_PREFIX',
    'SETTINGS_VARIABLE',
    'PlatformDialect',
    'PlatformStore',
    'decode_document',
    'decode_order',
    'decode_server',
    'decode_settings',
    'decode_status',
    'make_directory_app',
    'make_readiness_app',
    'read_settings',
    'server_name',
    'status_key',
    'status_mutation',
]
