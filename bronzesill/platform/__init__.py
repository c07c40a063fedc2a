"""The platform's names, formats and calls; nothing here decides."""

from .documents import CONFIGURATION_KEY, decode_document
from .entry import make_directory_app, make_readiness_app
from .headers import PlatformDialect
from .hosts import HttpHostList
from .rollouts import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
    status_mutation,
)
from .servers import SERVER_PREFIX, decode_server, server_name
from .settings import SETTINGS_VARIABLE, decode_settings, read_settings
from .store import ALL_KEYS, PlatformStore

__all__ = [
    'ALL_KEYS',
    'CONFIGURATION_KEY',
    'ORDER_PREFIX',
    'SERVER_PREFIX',
    'SETTINGS_VARIABLE',
    'HttpHostList',
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
