"""Typed messages between daemons: framing, streams and datagrams."""

from .codec import FRAME_VERSION, Envelope, InvalidMessage, MessageRegistry
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
    'InvalidMessage',
    'MessageRegistry',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'WireCounters',
]
