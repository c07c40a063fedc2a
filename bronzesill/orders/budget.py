"""Budget of the weight store: how many servers load at once."""

import dataclasses

__all__ = ['LoadSlot', 'LoadSlots']


@dataclasses.dataclass(frozen=True)
class LoadSlot:
    """
    One load under way.

    :param server: backend server that loads.
    :param fencing: fencing number of its order.
    :param until_s: when the slot is free again, should nobody give it back.
    """

    server: str
    fencing: int
    until_s: float


@dataclasses.dataclass(frozen=True)
class LoadSlots:
    """
    All loads under way, shared by all daemons through the store.

    :param slots: the loads.
    """

    slots: tuple[LoadSlot, ...] = ()

    def take(
        self, wanted: LoadSlot, most: int, now_s: float
    ) -> 'LoadSlots | None':
        """
        Return the loads with one more, none if there are enough.

        :param wanted: the load that wants to begin.
        :param most: loads at once at the most.
        :param now_s: seconds since the epoch.
        """
        others = self._others(wanted.server, now_s)
        if len(others) >= most:
            return None
        return LoadSlots((*others, wanted))

    def give_back(self, server: str, now_s: float) -> 'LoadSlots':
        """Return the loads without a server's."""
        return LoadSlots(self._others(server, now_s))

    def _others(self, server: str, now_s: float) -> tuple[LoadSlot, ...]:
        return tuple(
            slot
            for slot in self.slots
            if slot.server != server and slot.until_s > now_s
        )
