"""Records of orders to backend servers."""

import dataclasses
import enum

__all__ = ['OrderKind', 'OrderRecord', 'OrderState', 'has_ended']


class OrderKind(enum.Enum):
    """Operation that a backend server is ordered to execute."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'
    CHANGE_ROLE = 'change_role'


class OrderState(enum.Enum):
    """State of an order; ``DONE`` and ``REFUSED`` are final."""

    PENDING = 'pending'
    SENT = 'sent'
    DONE = 'done'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class OrderRecord:
    """
    Stored record of the last order of a backend server.

    Its fencing number is the revision of the store at its creation with the
    era, which together increase with every write to any key.

    :param server: name of the backend server.
    :param kind: operation to execute.
    :param argument: model, adapter, version or role, depending on the kind.
    :param operator: operator who created the order.
    :param reason: reason that the operator gave.
    :param created_at_s: time of creation, in seconds since the epoch.
    :param state: state of the order.
    :param fencing: fencing number, 0 in the record as first written, because
        the revision is known only after the write.
    :param note: reason of the final state.
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

    def as_known_after(self, returned_at_s: float) -> 'OrderRecord':
        """
        Return the record as it has to be understood.

        An order from before a return of the store may have been sent,
        although the older copy does not say so.

        :param returned_at_s: time of the last return, in seconds since the
            epoch.
        """
        is_older = self.created_at_s < returned_at_s
        if self.state is OrderState.PENDING and is_older:
            return dataclasses.replace(self, state=OrderState.SENT)
        return self


def has_ended(record: OrderRecord) -> bool:
    """Return whether an order is done or refused."""
    return record.state in {OrderState.DONE, OrderState.REFUSED}
