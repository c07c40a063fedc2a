"""Record of a traffic move, its changes, and the facts that spread it."""

import dataclasses
import enum

import orjson

from ..membership import Fact, FactKind
from ..utils import read_number

__all__ = [
    'MoveRecord',
    'MoveState',
    'fact_of',
    'has_ended',
    'record_from_fact',
    'rollback_fact',
]

_MAX_REASON_CHARS = 80


class MoveState(enum.Enum):
    """State of a move; ``DONE`` and ``ROLLED_BACK`` are final."""

    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    ROLLED_BACK = 'taken_back'


@dataclasses.dataclass(frozen=True)
class MoveRecord:
    """
    Stored record of a move of traffic from one version to another.

    All times are in seconds since the epoch.

    :param move_id: identifier of the move.
    :param subject: model or plain service whose traffic moves.
    :param old_version: version that served the traffic before the move.
    :param new_version: version that serves it after the move.
    :param created_at_s: time of creation.
    :param deadline_at_s: time at which an uncommitted move is rolled back.
    :param operator: operator who created the move.
    :param reason: reason that the operator gave.
    :param state: state of the move.
    :param share: share of the traffic that the new version gets, 0 to 1.
    :param sequence: number of the change, increased by one each time.
    :param changed_at_s: time of the last change.
    :param changed_by: operator or daemon that made the last change.
    :param note: reason of the last change.
    """

    move_id: str
    subject: str
    old_version: str
    new_version: str
    created_at_s: float
    deadline_at_s: float
    operator: str
    reason: str
    state: MoveState = MoveState.RUNNING
    share: float = 0
    sequence: int = 1
    changed_at_s: float = 0
    changed_by: str = ''
    note: str = ''

    def changed(
        self,
        *,
        now_s: float,
        by: str,
        note: str,
        state: MoveState | None = None,
        share: float | None = None,
    ) -> 'MoveRecord':
        """
        Return a changed copy with the next sequence number.

        :param now_s: time of the change, in seconds since the epoch.
        :param by: operator or daemon that makes the change.
        :param note: reason of the change.
        :param state: new state, none to keep the present one.
        :param share: new share, none to keep the present one.
        """
        return dataclasses.replace(
            self,
            state=state or self.state,
            share=self.share if share is None else share,
            sequence=self.sequence + 1,
            changed_at_s=now_s,
            changed_by=by,
            note=note,
        )


def has_ended(record: MoveRecord) -> bool:
    """Return whether a move is done or rolled back."""
    return record.state in {MoveState.DONE, MoveState.ROLLED_BACK}


def fact_of(record: MoveRecord) -> Fact:
    """
    Return the fact that publishes a record.

    The operator, the reason and the note are left out to keep it short.

    :param record: record of the move.
    """
    fields = (
        record.subject,
        record.old_version,
        record.new_version,
        round(record.created_at_s, 3),
        round(record.deadline_at_s, 3),
        record.state.value,
        record.share,
        round(record.changed_at_s, 3),
    )
    text = orjson.dumps(fields).decode()
    return Fact(FactKind.MOVE_RECORD, record.move_id, record.sequence, text)


def record_from_fact(fact: Fact) -> MoveRecord | None:
    """Return the record of a fact, none if the fact cannot be parsed."""
    try:
        fields = orjson.loads(fact.text)
        return MoveRecord(
            move_id=fact.key,
            subject=_read_text(fields[0]),
            old_version=_read_text(fields[1]),
            new_version=_read_text(fields[2]),
            created_at_s=read_number(fields[3]),
            deadline_at_s=read_number(fields[4]),
            operator='',
            reason='',
            state=MoveState(fields[5]),
            share=read_number(fields[6], highest=1),
            sequence=fact.rank,
            changed_at_s=read_number(fields[7]),
        )
    except (ValueError, LookupError, TypeError):
        return None


def _read_text(raw: object) -> str:
    if not isinstance(raw, str):
        raise ValueError(f'expected text, got {type(raw).__name__}')
    return raw


def rollback_fact(move_id: str, reason: str) -> Fact:
    """
    Return the fact that rolls a move back on all daemons.

    :param move_id: identifier of the move.
    :param reason: reason of the rollback; only its beginning is sent.
    """
    return Fact(
        FactKind.VERSION_TAKEN_BACK, move_id, 1, reason[:_MAX_REASON_CHARS]
    )
