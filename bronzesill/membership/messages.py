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
    'GossipUpdates',
    'Ping',
    'PingRequest',
    'View',
]


@dataclasses.dataclass(frozen=True)
class GossipUpdates:
    """
    Updates, piggybacked on probes or sent on their own.

    :param members: member records.
    :param facts: facts.
    """

    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()


@dataclasses.dataclass(frozen=True)
class Ping:
    """
    Probe of a daemon, acknowledged by :class:`Ack`.

    :param sender: name of the probing daemon.
    :param sequence: sequence number of the probe.
    :param view_hash: hash of the sender's view.
    :param updates: piggybacked updates.
    :param on_behalf_of: address of the daemon that requested an indirect
        probe, ``None`` for a direct one.
    """

    sender: str
    sequence: int
    view_hash: int
    updates: GossipUpdates
    on_behalf_of: Address | None = None


@dataclasses.dataclass(frozen=True)
class Ack:
    """
    Acknowledgement of a probe.

    :param subject: name of the probed daemon.
    :param sequence: sequence number of the probe.
    :param view_hash: hash of the view of the probed daemon.
    :param updates: piggybacked updates.
    :param on_behalf_of: address to which an indirect acknowledgement is
        forwarded, ``None`` for a direct one.
    """

    subject: str
    sequence: int
    view_hash: int
    updates: GossipUpdates
    on_behalf_of: Address | None = None


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """
    Request for an indirect probe.

    :param sender: name of the requesting daemon.
    :param target: name of the daemon to probe.
    :param sequence: sequence number of the requester's probe.
    """

    sender: str
    target: str
    sequence: int


@dataclasses.dataclass(frozen=True)
class BucketHashes:
    """
    Bucket hashes, sent if the hashes of two views differ.

    :param sender: name of the sending daemon.
    :param hashes: one hash per bucket, in order.
    """

    sender: str
    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Entries:
    """
    Contents of the buckets whose hashes differ.

    :param sender: name of the sending daemon.
    :param buckets: indices of the buckets.
    :param updates: the sender's members and facts in these buckets.
    :param wants_reply: whether the receiver replies with its own contents.
    """

    sender: str
    buckets: tuple[int, ...]
    updates: GossipUpdates
    wants_reply: bool


@dataclasses.dataclass(frozen=True)
class FetchView:
    """
    Request for the full view, sent over a stream by a joining daemon.

    :param sender: member record of the requesting daemon.
    """

    sender: Member


@dataclasses.dataclass(frozen=True)
class View:
    """
    Full view of a daemon, in reply to :class:`FetchView`.

    :param updates: all its members and facts.
    """

    updates: GossipUpdates
