"""Operators' orders to move traffic, and what they are told of them."""

from __future__ import annotations

import orjson

from ..moves import MoveOrder, OrderStatus
from ..store import Mutation, StoredEntry

__all__ = [
    'ORDER_PREFIX',
    'decode_order',
    'decode_status',
    'status_key',
    'status_mutation',
]

#: Prefix of the operators' orders, one for each service.
ORDER_PREFIX = 'op/rollout/'

_STATUS_PREFIX = 'status/rollout/'

_RUNNING = 'in_progress'
_DONE = 'completed'
_TAKEN_BACK = 'reverted'


def decode_order(entry: StoredEntry) -> MoveOrder | None:
    """
    Decode an order.

    :param entry: the order's key as the store keeps it.
    :returns: the order, none if it is removed or cannot be read.
    """
    if entry.is_removed:
        return None
    try:
        raw = orjson.loads(entry.payload)
        return MoveOrder(
            subject=str(raw['service']),
            # `target` is the version to move to.
            new_version=str(raw['target']),
            window_s=float(raw['durationS']),
            mod_revision=entry.mod_revision,
        )
    except (ValueError, TypeError, KeyError):
        return None


def decode_status(payload: bytes) -> OrderStatus | None:
    """Decode what operators were told, none if it cannot be read."""
    try:
        raw = orjson.loads(payload)
        return OrderStatus(
            subject=str(raw['service']),
            new_version=str(raw['target']),
            is_done=raw['state'] == _DONE,
            is_taken_back=raw['state'] == _TAKEN_BACK,
        )
    except (ValueError, TypeError, KeyError):
        return None


def status_key(subject: str) -> str:
    """Return the key under which operators read about a subject."""
    return f'{_STATUS_PREFIX}{subject}'


def status_mutation(status: OrderStatus) -> Mutation:
    """Return the write that tells operators."""
    state = _RUNNING
    if status.is_done:
        state = _DONE
    elif status.is_taken_back:
        state = _TAKEN_BACK
    told = {
        'service': status.subject,
        'target': status.new_version,
        'state': state,
    }
    return Mutation(status_key(status.subject), orjson.dumps(told))
