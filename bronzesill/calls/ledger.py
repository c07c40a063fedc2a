"""Decisions of the ledger of calls that must not be repeated."""

import dataclasses
import enum

__all__ = [
    'CallClaim',
    'CallOutcome',
    'ClaimAnswer',
    'LedgerIndex',
    'LedgerRecord',
    'RecordKind',
    'Verdict',
]

_UNKNOWN_MARGIN_S = 2.0
_EXPIRY_MARGIN_S = 300.0


class RecordKind(enum.IntEnum):
    """What a record says of a key."""

    CLAIM = 1
    OUTCOME = 2
    RELEASE = 3


class Verdict(enum.IntEnum):
    """Answer to a claim."""

    GRANTED = 1
    RUNNING = 2
    DONE = 3
    UNKNOWN = 4
    KEY_REUSED = 5
    KEY_EXPIRED = 6
    UNAVAILABLE = 7


@dataclasses.dataclass(frozen=True)
class CallOutcome:
    """
    How a call ended.

    :param status: HTTP status of the service's answer.
    :param content_type: type of the body.
    :param body: bytes of the body, empty if it was too large to keep.
    :param is_body_kept: whether the body is whole.
    """

    status: int
    content_type: str
    body: bytes
    is_body_kept: bool = True


@dataclasses.dataclass(frozen=True)
class CallClaim:
    """
    Wish to run a call.

    :param key: client account and idempotency key.
    :param claim_id: name of this wish; only who made it may send the call.
    :param fingerprint: hash of the call.
    :param issued_at_s: when the key was issued, seconds since the epoch.
    :param deadline_s: seconds within which the call is sent and answered.
    """

    key: str
    claim_id: str
    fingerprint: int
    issued_at_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class LedgerRecord:
    """
    One entry of the ledger.

    :param kind: one of :class:`RecordKind`.
    :param key: client account and idempotency key.
    :param claim_id: the claim it belongs to.
    :param fingerprint: hash of the call.
    :param at_s: when the claim was made, seconds since the epoch.
    :param deadline_s: seconds within which the call is sent and answered.
    :param outcome: how the call ended, none if that is not known.
    """

    kind: int
    key: str
    claim_id: str
    fingerprint: int
    at_s: float
    deadline_s: float
    outcome: CallOutcome | None = None


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """
    Answer to a claim.

    :param verdict: one of :class:`Verdict`.
    :param outcome: how the call ended, if it is done.
    """

    verdict: int
    outcome: CallOutcome | None = None


class LedgerIndex:
    """
    What one partition of the ledger says of each key.

    Does no I/O and reads no clock; records are applied once they are in the
    store.

    :param window_s: seconds for which a key is kept after it was issued.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._records_by_key: dict[str, LedgerRecord] = {}

    def __len__(self) -> int:
        return len(self._records_by_key)

    def judge(self, claim: CallClaim, now_s: float) -> ClaimAnswer:
        """
        Answer a claim by what is recorded.

        ``GRANTED`` holds only once the claim's record is in the store.

        :param claim: the wish to run a call.
        :param now_s: seconds since the epoch.
        """
        record = self._records_by_key.get(claim.key)
        if record is None:
            is_old = now_s - claim.issued_at_s > self.window_s
            verdict = Verdict.KEY_EXPIRED if is_old else Verdict.GRANTED
            return ClaimAnswer(verdict)
        if record.fingerprint != claim.fingerprint:
            return ClaimAnswer(Verdict.KEY_REUSED)
        if record.kind == RecordKind.OUTCOME:
            known = record.outcome is not None
            verdict = Verdict.DONE if known else Verdict.UNKNOWN
            return ClaimAnswer(verdict, record.outcome)
        if record.claim_id == claim.claim_id:
            return ClaimAnswer(Verdict.GRANTED)
        ends_at_s = record.at_s + record.deadline_s + _UNKNOWN_MARGIN_S
        is_running = now_s < ends_at_s
        return ClaimAnswer(Verdict.RUNNING if is_running else Verdict.UNKNOWN)

    def holds(self, claim: CallClaim) -> bool:
        """Say whether this very claim is recorded."""
        record = self._records_by_key.get(claim.key)
        return record is not None and record.claim_id == claim.claim_id

    def is_recorded(self, record: LedgerRecord) -> bool:
        """Say whether applying a record would change nothing."""
        held = self._records_by_key.get(record.key)
        if held is None or held.claim_id != record.claim_id:
            return record.kind != RecordKind.CLAIM
        if record.kind == RecordKind.RELEASE:
            return False
        return held.kind >= record.kind

    def apply(self, record: LedgerRecord) -> None:
        """Take in a record that is in the store."""
        held = self._records_by_key.get(record.key)
        if record.kind == RecordKind.CLAIM:
            self._records_by_key.setdefault(record.key, record)
        elif held is None or held.claim_id != record.claim_id:
            return
        elif record.kind == RecordKind.OUTCOME:
            self._records_by_key[record.key] = record
        elif held.kind == RecordKind.CLAIM:
            self._records_by_key.pop(record.key)

    def expire(self, now_s: float) -> None:
        """
        Forget keys that are too old to be granted again.

        A key is refused as expired well before its record is forgotten.
        """
        oldest_s = now_s - self.window_s - _EXPIRY_MARGIN_S
        self._records_by_key = {
            key: record
            for key, record in self._records_by_key.items()
            if record.at_s > oldest_s
        }
