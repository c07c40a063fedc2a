"""Messages between a daemon that runs calls and a partition owner."""

import dataclasses

from .ledger import CallClaim, CallOutcome

__all__ = ['ClaimCall', 'RecordCall', 'RecordReply', 'ReleaseCall']


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """
    Request for the exclusive right to send a call.

    :param claim: the claim to decide on.
    """

    claim: CallClaim


@dataclasses.dataclass(frozen=True)
class RecordCall:
    """
    Request to record the outcome of a claimed call.

    :param claim: the claim that was granted.
    :param outcome: result of the call, none if it is unknown.
    """

    claim: CallClaim
    outcome: CallOutcome | None


@dataclasses.dataclass(frozen=True)
class ReleaseCall:
    """
    Request to release the claim of a call that will never be sent.

    :param claim: the claim to release.
    """

    claim: CallClaim


@dataclasses.dataclass(frozen=True)
class RecordReply:
    """
    Reply to a request to record an outcome or to release a claim.

    :param is_durable: whether the change has been written to the store.
    """

    is_durable: bool
