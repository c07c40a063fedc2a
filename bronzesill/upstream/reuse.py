"""Rules for the reuse of idle connections."""

from __future__ import annotations

import dataclasses

from .connection import UpstreamConnection

__all__ = ['IdleLimit', 'is_proven_alive']

#: Networks drop connections that are idle for longer, without a notice.
_MAX_STATED_IDLE_S = 30.0
#: A server that sent bytes, or accepted a connection, so lately is alive.
_PROVEN_S = 0.2


@dataclasses.dataclass(frozen=True)
class IdleLimit:
    """
    How long a connection may have been idle that carries a request.

    :param max_idle_s: longest idle time in seconds.
    :param trusts_stated_timeout: whether a connection whose server states its
        idle timeout may be used until shortly before that instead, unless the
        kernel holds an end of it.
    """

    max_idle_s: float
    trusts_stated_timeout: bool = False

    def allows(self, connection: UpstreamConnection, now_s: float) -> bool:
        """
        Return whether a connection may carry a request.

        :param connection: an idle connection.
        :param now_s: current loop time in seconds.
        """
        max_idle_s = self.max_idle_s
        if self.trusts_stated_timeout and connection.is_timeout_stated:
            max_idle_s = _MAX_STATED_IDLE_S
        is_fresh = (
            now_s - connection.idle_since_s <= max_idle_s
            and now_s < connection.usable_until_s
        )
        if not is_fresh or not connection.is_reusable:
            return False
        return not (self.trusts_stated_timeout and connection.has_pending_end)


def is_proven_alive(connection: UpstreamConnection, now_s: float) -> bool:
    """
    Return whether an idle connection shows that its server is alive.

    :param connection: an idle connection.
    :param now_s: current loop time in seconds.
    """
    if now_s - connection.received_at_s > _PROVEN_S:
        return False
    return connection.is_reusable and not connection.has_pending_end
