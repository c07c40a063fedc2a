"""Messages of the membership protocol."""

import dataclasses

from ..utils import Address
from .facts import Fact
from .members import Member

__all__ = [
    'Ack',
    'BucketHashes',
    'Entries',
    'FetchView',
    'Ping',
    'PingRequest',
    'Rumours',
    'View',
]


@dataclasses.dataclass(frozen=True)
class Rumours:
    """
    News, sent with every datagram or by itself.

    :param members: beliefs about members.
    :param facts: facts that only grow.
    """

    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()


@dataclasses.dataclass(frozen=True)
class Ping:
    """
    Question whether a daemon lives.

    :param sender: name of the daemon that asks.
    :param sequence: number of the probe.
    :param view_hash: hash of all that the sender believes.
    :param rumours: news.
    :param on_behalf_of: daemon that asked for the probe, none if the sender.
    """

    sender: str
    sequence: int
    view_hash: int
    rumours: Rumours
    on_behalf_of: Address | None = None


@dataclasses.dataclass(frozen=True)
class Ack:
    """
    Sign of life.

    :param subject: name of the daemon that lives.
    :param sequence: number of the probe.
    :param view_hash: hash of all that the sender believes.
    :param rumours: news.
    :param on_behalf_of: daemon to pass the sign on to, none if the receiver.
    """

    subject: str
    sequence: int
    view_hash: int
    rumours: Rumours
    on_behalf_of: Address | None = None


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """
    Request to probe a daemon for another one.

    :param sender: name of the daemon that asks.
    :param target: name of the daemon to probe.
    :param sequence: number of the asker's probe.
    """

    sender: str
    target: str
    sequence: int


@dataclasses.dataclass(frozen=True)
class BucketHashes:
    """
    Hashes of beliefs by bucket, sent when views differ.

    :param sender: name of the daemon that sends.
    :param hashes: one hash for each bucket.
    """

    sender: str
    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Entries:
    """
    All that the sender believes in some buckets.

    :param sender: name of the daemon that sends.
    :param buckets: numbers of the buckets.
    :param rumours: the beliefs in them.
    :param wants_reply: whether the receiver's beliefs are asked for.
    """

    sender: str
    buckets: tuple[int, ...]
    rumours: Rumours
    wants_reply: bool


@dataclasses.dataclass(frozen=True)
class FetchView:
    """
    Question for all that a daemon believes, asked over a stream.

    :param sender: the daemon that asks, as it describes itself.
    """

    sender: Member


@dataclasses.dataclass(frozen=True)
class View:
    """
    All that a daemon believes.

    :param rumours: its members and facts.
    """

    rumours: Rumours
