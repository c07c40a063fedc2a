"""Orders of operators to move a subject's traffic to another version."""

import dataclasses

__all__ = ['MoveOrder', 'OrderStatus']


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """
    An operator's order, read from the platform's store.

    :param subject: model or plain service whose traffic is to be moved.
    :param new_version: version that is to serve the traffic.
    :param window_s: seconds from the order to the deadline of its move.
    :param mod_revision: store revision of the order.
    """

    subject: str
    new_version: str
    window_s: float
    mod_revision: int

    @property
    def move_id(self) -> str:
        """Identifier of the move that executes the order."""
        return f'{self.subject}-{self.mod_revision}'


@dataclasses.dataclass(frozen=True)
class OrderStatus:
    """
    Status of an order, as published to operators.

    :param subject: model or plain service of the order.
    :param new_version: version of the order.
    :param is_done: whether the new version serves all traffic for good.
    :param is_taken_back: whether the move was rolled back for good, so that
        the old version serves all traffic.
    """

    subject: str
    new_version: str
    is_done: bool = False
    is_taken_back: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the status no longer changes and operators may act on it."""
        return self.is_done or self.is_taken_back
