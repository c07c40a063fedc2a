"""Orders of operators to move a subject's traffic to another version."""

import dataclasses

__all__ = ['MoveOrder', 'OrderStatus']


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """
    An operator's order, as the platform's store keeps it.

    :param subject: model or plain service whose traffic is to move.
    :param new_version: version that is to serve it.
    :param window_s: seconds from the order to its deadline.
    :param mod_revision: store revision of the order.
    """

    subject: str
    new_version: str
    window_s: float
    mod_revision: int

    @property
    def move_id(self) -> str:
        """Name of the move that carries the order out."""
        return f'{self.subject}-{self.mod_revision}'


@dataclasses.dataclass(frozen=True)
class OrderStatus:
    """
    What operators are told of an order.

    :param subject: model or plain service of the order.
    :param new_version: version of the order.
    :param is_done: whether all traffic has moved for good.
    :param is_taken_back: whether the old version keeps all traffic for good.
    """

    subject: str
    new_version: str
    is_done: bool = False
    is_taken_back: bool = False

    @property
    def is_final(self) -> bool:
        """Whether operators may act on it."""
        return self.is_done or self.is_taken_back
