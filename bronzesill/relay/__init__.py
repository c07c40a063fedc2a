"""Connections to backend servers that lead through another host."""

from .connections import (
    RELAY_TYPES_BY_NUMBER,
    RelayData,
    RelayEnd,
    RelayOpen,
    RelayOpened,
    RelayRefused,
)
from .connector import RelayConnector
from .paths import PathTable, RelayPeer
from .server import RelayBounds, RelayServer

__all__ = [
    'RELAY_TYPES_BY_NUMBER',
    'PathTable',
    'RelayBounds',
    'RelayConnector',
    'RelayData',
    'RelayEnd',
    'RelayOpen',
    'RelayOpened',
    'RelayPeer',
    'RelayRefused',
    'RelayServer',
]
