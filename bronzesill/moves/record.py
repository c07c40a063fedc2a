"""Record of a traffic move and how it changes."""

import dataclasses
import enum

__all__ = ['MoveRecord', 'MoveState', 'has_ended']


class MoveState(enum.Enum):
    """Where a move is; the last two are its ends."""

    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


@dataclasses.dataclass(frozen=True)
class MoveRecord:
    """
    A move of traffic from one version to another, as the store keeps it.

    :param move_id: name of the move.
    :param subject: model or plain service whose traffic moves.
    :param old_version: version that serves it before.
    :param new_version: version that is to serve it.
    :param created_at_s: when it was created, seconds since the epoch.
    :param deadline_at_s: when it has to have ended.
    :param operator: who created it.
    :param reason: why.
    :param state: where it is.
    :param share: share of the traffic that the new version gets, 0 to 1.
    :param sequence: grows by one with each change.
    :param changed_at_s: when it last changed.
    :param changed_by: operator or daemon that changed it.
    :param note: why it changed.
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
        Return the record after a change.

        :param now_s: when, seconds since the epoch.
        :param by: operator or daemon.
        :param note: why.
        :param state: the new state, none to keep it.
        :param share: the new share, none to keep it.
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
    """Say whether a move is done or taken back."""
    return record.state in {MoveState.DONE, MoveState.TAKEN_BACK}
