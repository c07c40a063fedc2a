"""Exchange of messages between daemons over UDP."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from ..utils import Address, PartLogger
from .codec import InvalidMessage, MessageRegistry
from .counters import WireCounters

__all__ = [
    'MAX_DATAGRAM_BYTES',
    'DatagramSocket',
    'MessageQueue',
    'ReceivedMessage',
]

#: Maximum size of a datagram, below the usual MTU of 1500 bytes.
MAX_DATAGRAM_BYTES = 1400

_log = PartLogger('wire')


@dataclasses.dataclass(frozen=True)
class ReceivedMessage:
    """
    A received message.

    :param sender: source address.
    :param message: decoded message.
    """

    sender: Address
    message: Any


class MessageQueue(Protocol):
    """Destination of received messages, such as an ``asyncio.Queue``."""

    def put_nowait(self, arrival: ReceivedMessage, /) -> object:
        """Enqueue a received message without blocking."""


def _allow_all(address: Address) -> bool:
    return True


class DatagramSocket(asyncio.DatagramProtocol):
    """
    A UDP socket that puts received messages into a mailbox.

    :param registry: registered message types.
    :param counters: counters of traffic and dropped datagrams.
    :param mailbox: destination of received messages.
    """

    def __init__(
        self,
        registry: MessageRegistry,
        counters: WireCounters,
        mailbox: MessageQueue,
    ) -> None:
        #: Filter of outgoing datagrams by address; tests inject loss here.
        self.send_filter: Callable[[Address], bool] = _allow_all
        self._registry = registry
        self._counters = counters
        self._mailbox = mailbox
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """
        Bind the socket.

        :param address: local address.
        :raises OSError: if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )
        self._transport = endpoint[0]

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, message: object) -> None:
        """Send a message without acknowledgement or retry."""
        packed = self._registry.encode(message)
        self._counters.datagrams_out += 1
        self._counters.bytes_out += len(packed)
        if self._transport is not None and self.send_filter(address):
            self._transport.sendto(packed, (address.ip, address.port))

    def datagram_received(self, packed: bytes, addr: tuple[Any, ...]) -> None:
        """Decode a datagram; invalid ones are counted and dropped."""
        self._counters.datagrams_in += 1
        self._counters.bytes_in += len(packed)
        try:
            message = self._registry.decode(packed)
        except InvalidMessage as error:
            self._counters.dropped += 1
            _log.info('datagram dropped: %s', error)
            return
        sender = Address(addr[0], addr[1])
        self._mailbox.put_nowait(ReceivedMessage(sender, message))

    def error_received(self, error: Exception) -> None:
        """Count a refused datagram; the membership protocol probes the peer."""
        self._counters.broken += 1
