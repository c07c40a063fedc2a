"""Records of orders to backend servers."""

import dataclasses
import enum

__all__ = ['OrderKind', 'OrderRecord', 'OrderState', 'has_ended']


class OrderKind(enum.Enum):
    """What a backend server is told to do."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'
    CHANGE_ROLE = 'change_role'


class OrderState(enum.Enum):
    """Where an order is; the last two are its ends."""

    PENDING = 'pending'
    SENT = 'sent'
    DONE = 'done'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class OrderRecord:
    """
    The one order that a backend server has, as the store keeps it.

    Its fencing number is the store's revision when it was created, which
    grows with every write anywhere in the store.

    :param server: name of the backend server.
    :param kind: what it is told to do.
    :param argument: model, adapter, version or role.
    :param operator: who wants it.
    :param reason: why.
    :param created_at_s: when, in seconds since the epoch.
    :param state: where it is.
    :param fencing: fencing number, 0 until the creating write is read back.
    :param note: what happened last.
    """

    server: str
    kind: OrderKind
    argument: str
    operator: str
    reason: str
    created_at_s: float
    state: OrderState = OrderState.PENDING
    fencing: int = 0
    note: str = ''


def has_ended(record: OrderRecord) -> bool:
    """Say whether an order needs nothing more."""
    return record.state in {OrderState.DONE, OrderState.REFUSED}
