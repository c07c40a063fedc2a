"""Typed messages between daemons: framing, streams and datagrams."""

from .channel import PeerChannel
from .codec import FRAME_VERSION, Envelope, InvalidMessage, MessageRegistry
from .counters import WireCounters
from .datagrams import (
    MAX_DATAGRAM_BYTES,
    DatagramSocket,
    MessageQueue,
    ReceivedMessage,
)
from .peers import PeerClient, PeerHandler, PeerServer

__all__ = [
    'FRAME_VERSION',
    'MAX_DATAGRAM_BYTES',
    'DatagramSocket',
    'Envelope',
    'InvalidMessage',
    'MessageQueue',
    'MessageRegistry',
    'PeerChannel',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'ReceivedMessage',
    'WireCounters',
]
