"""Decoding of traffic move orders and encoding of their status."""

from __future__ import annotations

import orjson

from ..moves import MoveOrder, OrderStatus
from ..store import Mutation, StoredEntry
from ..utils import read_name, read_number

__all__ = [
    'ORDER_PREFIX',
    'decode_order',
    'decode_status',
    'status_key',
    'status_mutation',
]

#: Prefix of the keys of operators' orders; each service has one key.
ORDER_PREFIX = 'op/rollout/'

_STATUS_PREFIX = 'status/rollout/'

_MAX_WINDOW_S = 86_400.0

_IN_PROGRESS = 'in_progress'
_COMPLETED = 'completed'
_REVERTED = 'reverted'


def decode_order(
    entry: StoredEntry, *, may_be_repeated: bool
) -> MoveOrder | None:
    """
    Decode an order to move the traffic of a service to another version.

    :param entry: entry of the order in the key-value store.
    :param may_be_repeated: whether the order may have been read or written
        again because the store came back from an older copy.
    :returns: the order, none if it is removed or malformed.
    """
    if entry.is_removed:
        return None
    try:
        raw = orjson.loads(entry.payload)
        return MoveOrder(
            subject=read_name(raw['service']),
            # `target` is the version to move to.
            new_version=read_name(raw['target']),
            window_s=read_number(raw['durationS'], highest=_MAX_WINDOW_S),
            revision=entry.revision,
            may_be_repeated=may_be_repeated,
        )
    except (ValueError, TypeError, LookupError):
        return None


def decode_status(payload: bytes) -> OrderStatus | None:
    """Decode the published status of an order; return none if malformed."""
    try:
        raw = orjson.loads(payload)
        return OrderStatus(
            subject=read_name(raw['service']),
            new_version=read_name(raw['target']),
            is_done=raw['state'] == _COMPLETED,
            is_taken_back=raw['state'] == _REVERTED,
        )
    except (ValueError, TypeError, LookupError):
        return None


def status_key(subject: str) -> str:
    """Return the key under which the status of an order is published."""
    return f'{_STATUS_PREFIX}{subject}'


def status_mutation(status: OrderStatus) -> Mutation:
    """Return the write that publishes the status of an order."""
    state = _IN_PROGRESS
    if status.is_done:
        state = _COMPLETED
    elif status.is_taken_back:
        state = _REVERTED
    document = {
        'service': status.subject,
        'target': status.new_version,
        'state': state,
    }
    return Mutation(status_key(status.subject), orjson.dumps(document))
