"""What a generation reports to the rest of the daemon."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from .messages import LossCause
from .request import GenerationRequest

__all__ = ['AttemptSeen', 'AttemptUse', 'GenerationObserver']


@dataclasses.dataclass(frozen=True)
class AttemptSeen:
    """
    What was seen of an attempt; parts not seen are left out.

    :param request: the request it belongs to.
    :param server: backend server that computed it.
    :param is_end: whether it ended.
    :param is_failed: whether it ended badly.
    :param first_token_s: seconds to its first token.
    :param token_gap_s: mean seconds between its tokens.
    """

    request: GenerationRequest
    server: str
    is_end: bool = False
    is_failed: bool = False
    first_token_s: float | None = None
    token_gap_s: float | None = None


@dataclasses.dataclass(frozen=True)
class AttemptUse:
    """
    What an attempt uses of backend servers.

    :param server: server that runs it.
    :param copy_to: server that keeps a copy of its memory, empty for none.
    :param tokens: memory that it may need, 0 if not known.
    """

    server: str
    copy_to: str = ''
    tokens: int = 0


class GenerationObserver(Protocol):
    """Receiver of what happens to the streams of generations."""

    def opened(self, use: AttemptUse) -> None:
        """Note a stream opened on a backend server."""

    def begun(self, server: str) -> None:
        """Note that a backend server's first token has come."""

    def closed(self, use: AttemptUse, *, has_begun: bool) -> None:
        """
        Note a stream closed on a backend server.

        :param use: what the stream used.
        :param has_begun: whether its first token had come.
        """

    def saw(self, seen: AttemptSeen) -> None:
        """Note how an attempt does."""

    def lost(self, server: str, cause: LossCause) -> None:
        """Note an attempt that broke off."""

    def accepted(self, token_count: int, *, is_first: bool) -> None:
        """Note accepted tokens."""

    def dropped(self, late: int, repeated: int) -> None:
        """Note tokens that were not accepted."""

    async def may_cancel(self, request: GenerationRequest) -> bool:
        """Say whether no other daemon reads the same stream."""
