"""Events that the membership protocol takes in and its actions."""

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
    'FactStated',
    'MessageArrived',
    'News',
    'Send',
    'Tick',
    'ViewFetched',
]

Message: TypeAlias = Ping | Ack | PingRequest | BucketHashes | Entries | Rumours


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class MessageArrived:
    """
    A datagram came in.

    :param sender: address it came from.
    :param message: what it says.
    """

    sender: Address
    message: Message


@dataclasses.dataclass(frozen=True)
class FactStated:
    """
    A fact that this daemon states itself.

    :param fact: the fact.
    """

    fact: Fact


@dataclasses.dataclass(frozen=True)
class ViewFetched:
    """
    Another daemon's whole view came in over a stream.

    :param rumours: its members and facts.
    """

    rumours: Rumours


Event: TypeAlias = Tick | MessageArrived | FactStated | ViewFetched


@dataclasses.dataclass(frozen=True)
class Send:
    """
    Send a datagram.

    :param address: to whom.
    :param message: what.
    """

    address: Address
    message: Message


@dataclasses.dataclass(frozen=True)
class News:
    """
    Tell the rest of the daemon what was learnt.

    :param rumours: beliefs and facts that are new.
    :param source: address of the daemon that told, none if this one.
    """

    rumours: Rumours
    source: Address | None


Action: TypeAlias = Send | News
