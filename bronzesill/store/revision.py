"""Order of what the store says, across its returns from older copies."""

import dataclasses

__all__ = ['StoreRevision']


#: Bits of the number in an integer; with the era it fits the integers that
#: JSON readers keep exact.
_NUMBER_BITS = 44


@dataclasses.dataclass(frozen=True, order=True)
class StoreRevision:
    """
    Revision of the store; a later era comes after any number of an earlier one.

    The store may come back from an older copy.  It then begins a new era and
    gives out numbers again, so a number alone is no order.

    :param era: number of returns of the store, 0 if it names none.
    :param number: revision within the era, 0 before its first write.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f'{self.era}:{self.number}' if self.era else str(self.number)

    def to_int(self) -> int:
        """Return a number in the same order, the plain one without an era."""
        return (self.era << _NUMBER_BITS) + self.number
