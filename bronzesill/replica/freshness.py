"""How the time until what the store says is heeded is spent."""

from __future__ import annotations

import dataclasses

__all__ = ['FreshnessBudget', 'confirmation_time_s']

#: Parts of the time within which what the store says has to be heeded.
_RENEWAL_SHARE = 0.5
_MAX_AGE_SHARE = 0.625
#: A store that falls silent is noticed at the end of a poll.
_MAX_RENEWAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class FreshnessBudget:
    """
    Ages of what a host knows of the store.

    The age counts from the time at which the store last confirmed that
    nothing else is to be known, at whichever host that was.  A host that
    watches the store renews it; one that follows such a host reads the store
    itself once its knowledge is too old, whatever others answer.

    :param renewal_s: longest time between two confirmations at a host that
        watches the store and is answered.
    :param max_age_s: age of its knowledge at which a host that follows
        another one reads the store itself.
    """

    renewal_s: float
    max_age_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> FreshnessBudget:
        """
        Divide the time within which what the store says has to be heeded.

        What is left after the highest age is for the read itself and for
        hosts and links that are slow.

        :param bound_s: that time in seconds.
        """
        return cls(
            min(_MAX_RENEWAL_S, _RENEWAL_SHARE * bound_s),
            _MAX_AGE_SHARE * bound_s,
        )


def confirmation_time_s(
    sent_at_s: float, received_at_s: float, wait_s: float
) -> float:
    """
    Return the time up to which an answer to a poll of the store speaks.

    An answer that comes after the end of the waiting time may have been made
    at its end.

    :param sent_at_s: time at which the poll was sent.
    :param received_at_s: time at which its answer arrived.
    :param wait_s: seconds for which the store may wait for a change.
    """
    return min(received_at_s, sent_at_s + wait_s)
