"""Events a generation takes in and actions it asks for."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from ..utils import ResultCode

__all__ = [
    'Action',
    'Attached',
    'AttemptLost',
    'Begin',
    'CancelAttempt',
    'ChooseServer',
    'CompleteAnswer',
    'CountDropped',
    'DeliverTokens',
    'EndArrived',
    'Event',
    'FailAnswer',
    'LossCause',
    'NoServer',
    'OpenAttempt',
    'PlacementRefused',
    'ProbeServer',
    'ServerChosen',
    'ServerProbed',
    'SetTimer',
    'TimerFired',
    'TokensArrived',
]


class LossCause(enum.Enum):
    """Why an attempt ended without its answer."""

    BROKEN = 'broken'
    REFUSED = 'refused'
    SILENT = 'silent'
    GAP = 'gap'
    SHORT = 'short'


@dataclasses.dataclass(frozen=True)
class Begin:
    """The request was admitted."""


@dataclasses.dataclass(frozen=True)
class Attached:
    """
    The request already runs; its stream is read from its first token.

    :param server: backend server that computes the stream.
    :param attempt: attempt that computes it.
    """

    server: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class ServerChosen:
    """
    A backend server was found for the next attempt.

    :param server: name of the backend server.
    :param fill: its estimated streams per unit of capacity.
    :param copy_to: server that keeps a copy of the run's memory, empty for
        none.
    """

    server: str
    fill: float = 0
    copy_to: str = ''


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No backend server of the right version takes the attempt now."""


@dataclasses.dataclass(frozen=True)
class PlacementRefused:
    """
    The generation may not run.

    :param code: why.
    """

    code: ResultCode


@dataclasses.dataclass(frozen=True)
class TokensArrived:
    """
    Tokens of an attempt.

    :param attempt: attempt that computed them.
    :param offset: position of the first one in the whole answer.
    :param tokens: their texts.
    """

    attempt: int
    offset: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class EndArrived:
    """
    The end marker of an attempt.

    :param attempt: attempt that ended.
    :param total: tokens in the whole answer.
    :param reason: why the engine stopped, as it says.
    """

    attempt: int
    total: int
    reason: str


@dataclasses.dataclass(frozen=True)
class AttemptLost:
    """
    An attempt broke off.

    :param attempt: attempt that is lost.
    :param cause: why.
    :param detail: what was seen, for the log.
    """

    attempt: int
    cause: LossCause
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class ServerProbed:
    """
    Answer to :class:`ProbeServer`.

    :param attempt: attempt for which was asked.
    :param is_alive: whether the server took a connection.
    """

    attempt: int
    is_alive: bool


@dataclasses.dataclass(frozen=True)
class TimerFired:
    """The time asked for by :class:`SetTimer` has come."""


Event: TypeAlias = (
    Begin
    | Attached
    | ServerChosen
    | NoServer
    | PlacementRefused
    | TokensArrived
    | EndArrived
    | AttemptLost
    | ServerProbed
    | TimerFired
)


@dataclasses.dataclass(frozen=True)
class ChooseServer:
    """
    Find a backend server; answer by ``ServerChosen`` or ``NoServer``.

    :param excluded: servers that lost an attempt of this generation.
    :param is_resume: whether tokens were accepted before.
    :param copy_at: server that keeps a copy of the lost run's memory, empty
        for none.
    """

    excluded: frozenset[str]
    is_resume: bool
    copy_at: str = ''


@dataclasses.dataclass(frozen=True)
class OpenAttempt:
    """
    Open a stream on a backend server.

    :param attempt: number of the attempt.
    :param server: name of the backend server.
    :param offset: accepted tokens to go on from.
    :param is_attach: whether the stream exists and is only read.
    :param copy_to: server that keeps a copy of the run's memory.
    :param uses_copy: whether the server goes on from the copy it keeps.
    """

    attempt: int
    server: str
    offset: int
    is_attach: bool = False
    copy_to: str = ''
    uses_copy: bool = False


@dataclasses.dataclass(frozen=True)
class ProbeServer:
    """
    Find out whether a server takes connections.

    :param attempt: number of the attempt that waits for it.
    :param server: name of the backend server.
    """

    attempt: int
    server: str


@dataclasses.dataclass(frozen=True)
class CancelAttempt:
    """
    Cancel a stream, whether or not the server still hears it.

    :param attempt: number of the attempt.
    :param server: name of the backend server.
    :param cause: why it is cancelled.
    :param detail: what was seen, for the log.
    """

    attempt: int
    server: str
    cause: LossCause
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class DeliverTokens:
    """
    Hand accepted tokens to the caller.

    :param offset: position of the first one.
    :param tokens: their texts.
    """

    offset: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class CompleteAnswer:
    """
    Tell the caller that the answer is whole.

    :param total: tokens in the answer.
    :param reason: why the engine stopped.
    """

    total: int
    reason: str


@dataclasses.dataclass(frozen=True)
class FailAnswer:
    """
    Tell the caller that the answer stays incomplete.

    :param code: why.
    """

    code: ResultCode


@dataclasses.dataclass(frozen=True)
class SetTimer:
    """
    Send ``TimerFired`` at a time.

    :param at_s: time in seconds on the generation's clock.
    """

    at_s: float


@dataclasses.dataclass(frozen=True)
class CountDropped:
    """
    Count tokens that were not accepted.

    :param late: tokens of an attempt given up before.
    :param repeated: tokens accepted before.
    """

    late: int = 0
    repeated: int = 0


Action: TypeAlias = (
    ChooseServer
    | OpenAttempt
    | ProbeServer
    | CancelAttempt
    | DeliverTokens
    | CompleteAnswer
    | FailAnswer
    | SetTimer
    | CountDropped
)
