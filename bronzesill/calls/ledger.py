"""Decision logic of the ledger of at-most-once calls."""

import dataclasses
import enum
import math

__all__ = [
    'CallClaim',
    'CallOutcome',
    'ClaimAnswer',
    'ClaimVerdict',
    'LedgerIndex',
    'LedgerRecord',
    'RecordKind',
]

#: Time after a claim's deadline from which its outcome counts as unknown.
_DEADLINE_MARGIN_S = 2.0
_EXPIRY_MARGIN_S = 300.0


class RecordKind(enum.IntEnum):
    """Kind of ledger record."""

    CLAIM = 1
    OUTCOME = 2
    RELEASE = 3


class ClaimVerdict(enum.IntEnum):
    """Decision on a claim."""

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
    Recorded result of a call.

    :param status: HTTP status of the service's response.
    :param content_type: media type of the body.
    :param body: response body, empty if it was too large to store.
    :param is_body_kept: whether the complete body is stored.
    """

    status: int
    content_type: str
    body: bytes
    is_body_kept: bool = True


@dataclasses.dataclass(frozen=True)
class CallClaim:
    """
    Request for the exclusive right to send a call.

    :param key: client account and idempotency key, joined by a slash.
    :param claim_id: unique ID of this claim; only its creator may send the
        call.
    :param fingerprint: hash of method, path and body of the call.
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
    :param key: client account and idempotency key, joined by a slash.
    :param claim_id: ID of the claim that the record belongs to.
    :param fingerprint: hash of method, path and body of the call.
    :param at_s: when the record was made, seconds since the epoch.
    :param deadline_s: seconds within which the call is sent and answered.
    :param outcome: result of the call, none if it is unknown.
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
    Reply to a claim.

    :param verdict: one of :class:`ClaimVerdict`.
    :param outcome: recorded result of the call, if it is done.
    """

    verdict: int
    outcome: CallOutcome | None = None


class LedgerIndex:
    """
    In-memory index of the records in one partition of the ledger.

    The index does no I/O and reads no clock.  Apply a record only after it
    has been written to the store.

    :param window_s: retention period of a key in seconds, counted from when
        it was issued.
    :param forgotten_until_s: keys issued up to this time, in seconds since the
        epoch, may have been claimed although no record of them is left.
    """

    def __init__(
        self, window_s: float, forgotten_until_s: float = -math.inf
    ) -> None:
        self.window_s = window_s
        self.forgotten_until_s = forgotten_until_s
        self._records_by_key: dict[str, LedgerRecord] = {}

    def __len__(self) -> int:
        return len(self._records_by_key)

    def evaluate_claim(self, claim: CallClaim, now_s: float) -> ClaimAnswer:
        """
        Decide on a claim from the records in the index.

        ``GRANTED`` becomes valid only when the claim's record has been
        written to the store.

        :param claim: the claim to decide on.
        :param now_s: seconds since the epoch.
        """
        record = self._records_by_key.get(claim.key)
        if record is None:
            return ClaimAnswer(self._evaluate_unknown(claim, now_s))
        if record.fingerprint != claim.fingerprint:
            return ClaimAnswer(ClaimVerdict.KEY_REUSED)
        if record.kind == RecordKind.OUTCOME:
            is_known = record.outcome is not None
            verdict = ClaimVerdict.DONE if is_known else ClaimVerdict.UNKNOWN
            return ClaimAnswer(verdict, record.outcome)
        if record.claim_id == claim.claim_id:
            return ClaimAnswer(ClaimVerdict.GRANTED)
        running_until_s = record.at_s + record.deadline_s + _DEADLINE_MARGIN_S
        is_running = now_s < running_until_s
        return ClaimAnswer(
            ClaimVerdict.RUNNING if is_running else ClaimVerdict.UNKNOWN
        )

    def has_claim(self, claim: CallClaim) -> bool:
        """Return whether the current record of the key is for this claim."""
        record = self._records_by_key.get(claim.key)
        return record is not None and record.claim_id == claim.claim_id

    def records_missing_in(
        self, other: 'LedgerIndex'
    ) -> tuple[LedgerRecord, ...]:
        """Return the records that another index lacks, or has older."""
        return tuple(
            record
            for record in self._records_by_key.values()
            if not other.is_known(record)
        )

    def is_known(self, record: LedgerRecord) -> bool:
        """Return whether a key has this record or a later one."""
        current = self._records_by_key.get(record.key)
        return current is not None and current.kind >= record.kind

    def is_redundant(self, record: LedgerRecord) -> bool:
        """Return whether applying a record would have no effect."""
        current = self._records_by_key.get(record.key)
        if current is None or current.claim_id != record.claim_id:
            return record.kind != RecordKind.CLAIM
        if record.kind == RecordKind.RELEASE:
            return False
        return current.kind >= record.kind

    def apply(self, record: LedgerRecord) -> None:
        """Update the index with a record that is in the store."""
        current = self._records_by_key.get(record.key)
        if record.kind == RecordKind.CLAIM:
            self._records_by_key.setdefault(record.key, record)
        elif current is None or current.claim_id != record.claim_id:
            return
        elif record.kind == RecordKind.OUTCOME:
            self._records_by_key[record.key] = record
        elif current.kind == RecordKind.CLAIM:
            self._records_by_key.pop(record.key)

    def restore(self, record: LedgerRecord) -> None:
        """Add a record that the store has lost."""
        self._records_by_key[record.key] = record

    def expire(self, now_s: float) -> None:
        """
        Remove the records of keys that are past the retention period.

        Records are kept for a margin beyond the period, so a key is already
        rejected as expired when its record is removed.

        :param now_s: seconds since the epoch.
        """
        cutoff_s = now_s - self.window_s - _EXPIRY_MARGIN_S
        self._records_by_key = {
            key: record
            for key, record in self._records_by_key.items()
            if record.at_s > cutoff_s
        }

    def _evaluate_unknown(self, claim: CallClaim, now_s: float) -> ClaimVerdict:
        if now_s - claim.issued_at_s > self.window_s:
            return ClaimVerdict.KEY_EXPIRED
        if claim.issued_at_s <= self.forgotten_until_s:
            return ClaimVerdict.UNKNOWN
        return ClaimVerdict.GRANTED
