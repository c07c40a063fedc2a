"""Notes what happens to streams in the record of backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..routing import ServerBook
from ..utils import Metrics
from .locations import LocationDirectory
from .messages import LossCause
from .observer import AttemptSeen, AttemptUse
from .request import GenerationRequest

__all__ = ['BookObserver']


class BookObserver:
    """
    Observer of all generations of one daemon.

    :param daemon: name of this daemon.
    :param book: what is known of the backend servers.
    :param directory: where named generations run.
    :param metrics: receiver of counts.
    """

    def __init__(
        self,
        daemon: str,
        book: ServerBook,
        directory: LocationDirectory,
        metrics: Metrics,
    ) -> None:
        #: Told how attempts do; set by the daemon.
        self.on_seen: Callable[[AttemptSeen], None] = _ignore
        self._daemon = daemon
        self._book = book
        self._directory = directory
        self._metrics = metrics

    def opened(self, use: AttemptUse) -> None:
        """Note a stream opened on a backend server."""
        self._book.opened(use.server)
        self._occupy(use, use.tokens)

    def begun(self, server: str) -> None:
        """Note that a backend server's first token has come."""
        self._book.begun(server)

    def closed(self, use: AttemptUse, *, has_begun: bool) -> None:
        """Note a stream closed on a backend server."""
        self._book.closed(use.server, has_begun=has_begun)
        self._occupy(use, -use.tokens)

    def saw(self, seen: AttemptSeen) -> None:
        """Pass on how an attempt does."""
        self.on_seen(seen)

    def lost(self, server: str, cause: LossCause) -> None:
        """Avoid a server for a moment after it lost a stream."""
        self._book.suspect(server, asyncio.get_running_loop().time())
        self._metrics.incr(f'generations.lost.{cause.value}')

    def accepted(self, token_count: int, *, is_first: bool) -> None:
        """Count accepted tokens."""
        if is_first:
            self._metrics.incr('generations.started')

    def dropped(self, late: int, repeated: int) -> None:
        """Count tokens that were not accepted."""
        self._metrics.incr('generations.tokens.late', late)
        self._metrics.incr('generations.tokens.repeated', repeated)

    async def may_cancel(self, request: GenerationRequest) -> bool:
        """Say whether no other daemon reads the same stream."""
        if not request.can_reconnect:
            return True
        record = await self._directory.find(request.key)
        return record is None or record.owner == self._daemon

    def _occupy(self, use: AttemptUse, tokens: int) -> None:
        self._book.occupied(use.server, tokens)
        if use.copy_to:
            self._book.occupied(use.copy_to, tokens)


def _ignore(seen: AttemptSeen) -> None:
    """Do nothing with what was seen."""
