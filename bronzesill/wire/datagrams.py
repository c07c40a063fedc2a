"""Short messages between daemons over UDP."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from ..utils import Address, PartLogger
from .codec import MessageRegistry, UnknownMessage
from .counters import WireCounters

__all__ = [
    'MAX_DATAGRAM_BYTES',
    'Arrival',
    'ArrivalMailbox',
    'DatagramSocket',
]

#: Largest datagram that is sent, below the usual MTU.
MAX_DATAGRAM_BYTES = 1400

_log = PartLogger('wire')


@dataclasses.dataclass(frozen=True)
class Arrival:
    """
    A message with its sender.

    :param sender: address the message came from.
    :param message: the message.
    """

    sender: Address
    message: Any


class ArrivalMailbox(Protocol):
    """Where arrivals are put."""

    def put_nowait(self, arrival: Arrival, /) -> object:
        """Take in an arrival."""


def _keep_all(address: Address) -> bool:
    return True


class DatagramSocket(asyncio.DatagramProtocol):
    """
    Owner of one UDP socket; arrivals go into a mailbox.

    :param registry: message types understood.
    :param counters: counts of bytes and of dropped datagrams.
    :param mailbox: where arrivals are put.
    """

    def __init__(
        self,
        registry: MessageRegistry,
        counters: WireCounters,
        mailbox: ArrivalMailbox,
    ) -> None:
        #: Whether a datagram to an address is sent; tests lose some here.
        self.keeps: Callable[[Address], bool] = _keep_all
        self._registry = registry
        self._counters = counters
        self._mailbox = mailbox
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )
        self._transport = endpoint[0]

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, message: object) -> None:
        """Send a message; nobody says whether it arrives."""
        packed = self._registry.encode(message)
        self._counters.datagrams_out += 1
        self._counters.bytes_out += len(packed)
        if self._transport is not None and self.keeps(address):
            self._transport.sendto(packed, (address.ip, address.port))

    def datagram_received(self, packed: bytes, addr: tuple[Any, ...]) -> None:
        """Take in a datagram."""
        self._counters.datagrams_in += 1
        self._counters.bytes_in += len(packed)
        try:
            message = self._registry.decode(packed)
        except UnknownMessage as error:
            self._counters.dropped += 1
            _log.info('datagram dropped: %s', error)
            return
        sender = Address(addr[0], addr[1])
        self._mailbox.put_nowait(Arrival(sender, message))

    def error_received(self, error: Exception) -> None:
        """Count a refused datagram; the peer is probed by other means."""
        self._counters.broken += 1
