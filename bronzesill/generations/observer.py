"""Interface through which generations report to the rest of the daemon."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from .messages import LossCause
from .request import GenerationRequest
from .server_activity import MoveReason

__all__ = ['AttemptObservation', 'AttemptUsage', 'GenerationObserver']


@dataclasses.dataclass(frozen=True)
class AttemptObservation:
    """
    Observation of an attempt, either at its first token or at its end.

    :param request: request that the attempt belongs to.
    :param server: backend server that ran the attempt.
    :param is_end: whether the attempt has ended.
    :param is_failed: whether the attempt ended in failure.
    :param first_token_s: seconds from opening the stream to the first token,
        or None if not measured.
    :param is_lost_unanswered: whether the connection to the server ended
        before the first token.
    :param lasted_s: seconds from opening the stream to its end.
    :param token_gap_s: mean gap between tokens in seconds, or None if not
        measured.
    :param has_prefilled: whether the server had to prefill the prompt.
    :param answer_events: tokens of a whole answer that the attempt gave from
        its first on, 0 for any other end.
    """

    request: GenerationRequest
    server: str
    is_end: bool = False
    is_failed: bool = False
    is_lost_unanswered: bool = False
    lasted_s: float = 0
    first_token_s: float | None = None
    token_gap_s: float | None = None
    has_prefilled: bool = False
    answer_events: int = 0


@dataclasses.dataclass(frozen=True)
class AttemptUsage:
    """
    Resources of backend servers that an attempt uses.

    :param server: server that runs the attempt.
    :param copy_to: server that keeps a copy of the run's memory, empty for
        none.
    :param tokens: upper bound of the memory used, in tokens; 0 if unknown.
    """

    server: str
    copy_to: str = ''
    tokens: int = 0


class GenerationObserver(Protocol):
    """Receiver of notifications about the attempts of generations."""

    def stream_opened(self, usage: AttemptUsage) -> None:
        """Record a stream opened on a backend server."""

    def first_token_received(self, server: str) -> None:
        """Record the first token of a stream on a backend server."""

    def pace_measured(self, server: str, gap_s: float) -> None:
        """
        Record the time between the latest events of a stream.

        :param server: backend server that runs the stream.
        :param gap_s: low quantile of the seconds between two events.
        """

    def stream_closed(self, usage: AttemptUsage, *, has_begun: bool) -> None:
        """
        Record a stream closed on a backend server.

        :param usage: resources that the stream used.
        :param has_begun: whether the first token had been received.
        """

    def attempt_observed(self, observation: AttemptObservation) -> None:
        """Record the timings or the end of an attempt."""

    def attempt_lost(
        self, server: str, cause: LossCause, *, is_accepting: bool = False
    ) -> None:
        """
        Record an attempt that was lost or refused.

        :param server: name of the server.
        :param cause: cause of the loss.
        :param is_accepting: whether the server accepted a connection just
            now.
        """

    def run_moved(self, reason: MoveReason) -> None:
        """Record that a silent run is moved to another server."""

    def wait_ended(self) -> None:
        """Record that a silence ended by itself after a look."""

    def tokens_accepted(self, token_count: int, *, is_first: bool) -> None:
        """
        Record accepted tokens.

        :param token_count: number of tokens.
        :param is_first: whether they are the first tokens of the answer.
        """

    def tokens_dropped(self, late: int, repeated: int) -> None:
        """
        Record tokens that were not accepted.

        :param late: number of tokens of attempts that are no longer current.
        :param repeated: number of tokens that had already been accepted.
        """

    async def may_cancel(self, request: GenerationRequest) -> bool:
        """Return whether no other daemon reads the same stream."""
