"""Input events and output actions of the membership protocol."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from ..utils import Address
from .facts import Fact
from .messages import (
    Ack,
    BucketHashes,
    Entries,
    Ping,
    PingRequest,
    Rumours,
)

__all__ = [
    'Action',
    'Event',
    'FactPublished',
    'MessageArrived',
    'News',
    'Send',
    'Tick',
    'ViewFetched',
]

Message: TypeAlias = Ping | Ack | PingRequest | BucketHashes | Entries | Rumours


@dataclasses.dataclass(frozen=True)
class Tick:
    """Periodic timer event that drives probes and timeouts."""


@dataclasses.dataclass(frozen=True)
class MessageArrived:
    """
    A datagram was received.

    :param sender: source address.
    :param message: decoded message.
    """

    sender: Address
    message: Message


@dataclasses.dataclass(frozen=True)
class FactPublished:
    """
    A fact was published by this daemon.

    :param fact: fact to disseminate.
    """

    fact: Fact


@dataclasses.dataclass(frozen=True)
class ViewFetched:
    """
    Members and facts were received over a stream.

    :param rumours: a peer's full view, or the record of a joining daemon.
    """

    rumours: Rumours


Event: TypeAlias = Tick | MessageArrived | FactPublished | ViewFetched


@dataclasses.dataclass(frozen=True)
class Send:
    """
    Send a datagram.

    :param address: destination address.
    :param message: message to encode.
    """

    address: Address
    message: Message


@dataclasses.dataclass(frozen=True)
class News:
    """
    Notify listeners of applied updates.

    :param rumours: members and facts that changed the view.
    :param source: address of the peer that sent them, ``None`` if local.
    """

    rumours: Rumours
    source: Address | None


Action: TypeAlias = Send | News
