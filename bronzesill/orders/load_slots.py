"""Slots that limit the number of concurrent loads from the weight store."""

import dataclasses

__all__ = ['LoadSlot', 'LoadSlots']


@dataclasses.dataclass(frozen=True)
class LoadSlot:
    """
    Slot held by one backend server while it loads.

    :param server: name of the backend server.
    :param fencing: fencing number of its order.
    :param until_s: time at which the slot expires if it is not released, in
        seconds since the epoch.
    """

    server: str
    fencing: int
    until_s: float


@dataclasses.dataclass(frozen=True)
class LoadSlots:
    """
    All slots held, shared by the daemons through the store.

    :param slots: slots held, of which some may have expired.
    """

    slots: tuple[LoadSlot, ...] = ()

    def acquire(
        self, slot: LoadSlot, limit: int, now_s: float
    ) -> 'LoadSlots | None':
        """
        Return the slots with one more, none if the limit is reached.

        Expired slots are dropped, and an earlier slot of the same server is
        replaced.

        :param slot: slot to add.
        :param limit: maximum number of slots held at the same time.
        :param now_s: seconds since the epoch.
        """
        others = self._others(slot.server, now_s)
        if len(others) >= limit:
            return None
        return LoadSlots((*others, slot))

    def release(self, server: str, now_s: float) -> 'LoadSlots':
        """Return the unexpired slots without the one of a server."""
        return LoadSlots(self._others(server, now_s))

    def _others(self, server: str, now_s: float) -> tuple[LoadSlot, ...]:
        return tuple(
            slot
            for slot in self.slots
            if slot.server != server and slot.until_s > now_s
        )
