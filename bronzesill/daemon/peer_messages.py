"""Registry of the messages that daemons of both interfaces exchange."""

import dataclasses
import types
from collections.abc import Mapping

from ..membership import (
    Ack,
    BucketHashes,
    Entries,
    FetchView,
    GossipUpdates,
    Ping,
    PingRequest,
    View,
)
from ..moves import (
    FetchMoveTotals,
    MoveReport,
    MoveReportReply,
    MoveTotals,
)
from ..quarantine import (
    BlockNotice,
    CrashReport,
    Suspected,
    SuspectStarted,
)
from ..relay import RELAY_TYPES_BY_NUMBER
from ..replica import FetchReplica, ReplicaAnswer
from ..routing import FetchUse, UseReport
from ..wire import MessageRegistry

__all__ = ['Refusal', 'make_registry']


@dataclasses.dataclass(frozen=True)
class Refusal:
    """
    Reply to a request that this daemon does not support.

    :param code: numbered result code.
    """

    code: int


_SHARED_TYPES_BY_NUMBER: Mapping[int, type] = types.MappingProxyType(
    {
        1: Ping,
        2: Ack,
        3: PingRequest,
        4: BucketHashes,
        5: Entries,
        6: GossipUpdates,
        7: FetchView,
        8: View,
        50: MoveReport,
        51: MoveReportReply,
        52: FetchMoveTotals,
        53: MoveTotals,
        60: UseReport,
        63: FetchUse,
        64: FetchReplica,
        65: ReplicaAnswer,
        73: CrashReport,
        74: Suspected,
        75: SuspectStarted,
        76: BlockNotice,
        **RELAY_TYPES_BY_NUMBER,
        99: Refusal,
    }
)


def make_registry(
    own_types_by_number: Mapping[int, type] | None = None,
) -> MessageRegistry:
    """
    Return the registry of type numbers; numbers are never reused.

    :param own_types_by_number: messages of one interface only.
    """
    return MessageRegistry(
        {**_SHARED_TYPES_BY_NUMBER, **(own_types_by_number or {})}
    )
