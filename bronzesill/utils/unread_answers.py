"""Connections to callers that may not read their answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from .connections import ConnectionPhase, LimitedConnection, ServingLimits
from .logs import PartLogger

__all__ = ['CountedConnection', 'SetUnread', 'ignore_unread']

_log = PartLogger('serving')


class CountedConnection(LimitedConnection):
    """
    Connection that reports how much of its answers is not read.

    :param set_unread: called with the number of bytes that wait.
    :param get_limits: returns the current limits.
    :param phase: what holds for all connections of the server.
    """

    def __init__(
        self,
        set_unread: SetUnread,
        get_limits: Callable[[], ServingLimits],
        phase: ConnectionPhase,
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(get_limits, phase, *args, **options)
        self._set_unread = set_unread

    def pause_writing(self) -> None:
        """Report what waits; the transport holds more than it should."""
        super().pause_writing()
        waiting: int = self.transport.get_write_buffer_size()
        self._set_unread(self, waiting)

    def resume_writing(self) -> None:
        """Report that the caller has read."""
        self._set_unread(self, 0)
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that nothing waits any more."""
        self._set_unread(self, 0)
        super().connection_lost(exc)

    def fail(self, error: Exception) -> None:
        """Abort the connection; the host is short of memory."""
        _log.event(
            'unread_answer_dropped',
            caller=str(self.client),
            bytes=self.transport.get_write_buffer_size(),
            error=str(error),
        )
        self.transport.abort()


SetUnread: TypeAlias = Callable[[CountedConnection, int], object]


def ignore_unread(connection: CountedConnection, size: int) -> None:
    """Count nothing."""
