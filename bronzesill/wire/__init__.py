"""Typed messages between daemons: framing, streams and datagrams."""

from .codec import FRAME_VERSION, Envelope, MessageRegistry, UnknownMessage
from .counters import WireCounters
from .datagrams import (
    MAX_DATAGRAM_BYTES,
    Arrival,
    ArrivalMailbox,
    DatagramSocket,
)
from .peers import PeerClient, PeerHandler, PeerServer

__all__ = [
    'FRAME_VERSION',
    'MAX_DATAGRAM_BYTES',
    'Arrival',
    'ArrivalMailbox',
    'DatagramSocket',
    'Envelope',
    'MessageRegistry',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'UnknownMessage',
    'WireCounters',
]
