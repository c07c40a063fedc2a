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
    GossipUpdates,
    Ping,
    PingRequest,
)

__all__ = [
    'Action',
    'Event',
    'FactPublished',
    'MessageArrived',
    'Send',
    'Tick',
    'ViewFetched',
    'ViewUpdated',
]

Message: TypeAlias = (
    Ping | Ack | PingRequest | BucketHashes | Entries | GossipUpdates
)


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

    :param updates: a peer's full view, or the record of a joining daemon.
    """

    updates: GossipUpdates


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
class ViewUpdated:
    """
    Notify listeners of applied updates.

    :param updates: members and facts that changed the view.
    :param source: address of the peer that sent them, ``None`` if local.
    """

    updates: GossipUpdates
    source: Address | None


Action: TypeAlias = Send | ViewUpdated
