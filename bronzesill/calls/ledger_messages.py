"""Messages between a daemon that runs calls and a partition's owner."""

import dataclasses

from .ledger import CallClaim, CallOutcome

__all__ = ['ClaimCall', 'RecordCall', 'Recorded', 'ReleaseCall']


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """
    Wish to run a call.

    :param claim: the wish.
    """

    claim: CallClaim


@dataclasses.dataclass(frozen=True)
class RecordCall:
    """
    How a claimed call ended.

    :param claim: the claim that was granted.
    :param outcome: the service's answer, none if it is not known.
    """

    claim: CallClaim
    outcome: CallOutcome | None


@dataclasses.dataclass(frozen=True)
class ReleaseCall:
    """
    Word that a claimed call was not sent and never will be.

    :param claim: the claim.
    """

    claim: CallClaim


@dataclasses.dataclass(frozen=True)
class Recorded:
    """
    Whether a word about a call is in the store.

    :param is_durable: whether it is.
    """

    is_durable: bool
