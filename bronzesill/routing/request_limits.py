"""
Share of one daemon in the requests that a server takes from all daemons.

A limit gives numbered slots in time, which the daemons own in turn.  All of
them count from the same zero of Unix time, so that they keep a limit together
without asking each other.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import field

__all__ = ['FleetPosition', 'RequestLimit', 'RequestLimits']

#: A slot that was not used within this time is lost, so that few add up.
_SLOT_VALID_S = 1.2
#: A lower limit counts as this: otherwise it would never be seen to end.
_MIN_LIMIT_PER_S = 0.1
#: Answers from before the limit may arrive late and must not end it.
_END_DELAY_S = 1.0
#: Smaller changes of a limit keep its slots.
_SAME_LIMIT_RATIO = 0.05


@dataclasses.dataclass(frozen=True)
class FleetPosition:
    """
    Place of a daemon among the live ones.

    :param rank: number of the daemon, from 0.
    :param count: number of live daemons.
    """

    rank: int = 0
    count: int = 1


@dataclasses.dataclass(frozen=True)
class RequestLimit:
    """
    Limit of one server.

    :param per_s: requests per second from all daemons.
    :param named_at_s: Unix time in seconds of the last answer that named it.
    :param used_slot: number of the last slot that this daemon used.
    """

    per_s: float
    named_at_s: float
    used_slot: int

    def next_slot(self, position: FleetPosition, now_s: float) -> int:
        """Return the number of this daemon's first unused slot."""
        first_valid = math.ceil((now_s - _SLOT_VALID_S) * self.per_s)
        earliest = max(first_valid, self.used_slot + 1)
        return earliest + (position.rank - earliest) % position.count

    def wait_s(self, position: FleetPosition, now_s: float) -> float:
        """Return the seconds until this daemon may send, 0 if it may now."""
        opens_at_s = self.next_slot(position, now_s) / self.per_s
        return max(opens_at_s - now_s, 0)


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """
    Limits of all servers that name one.

    :param by_server: limits by name of the server.
    """

    by_server: Mapping[str, RequestLimit] = field(default_factory=dict)

    def named(
        self, server: str, per_s: float | None, now_s: float
    ) -> RequestLimits:
        """
        Return the limits after an answer of a server.

        :param server: name of the server.
        :param per_s: limit that the answer names, none for no limit.
        :param now_s: current Unix time in seconds.
        """
        known = self.by_server.get(server)
        if per_s is None:
            is_over = known and now_s - known.named_at_s >= _END_DELAY_S
            return self.without(server) if is_over else self
        per_s = max(per_s, _MIN_LIMIT_PER_S)
        if known and math.isclose(
            known.per_s, per_s, rel_tol=_SAME_LIMIT_RATIO
        ):
            limit = dataclasses.replace(known, named_at_s=now_s)
        else:
            limit = RequestLimit(per_s, now_s, math.floor(now_s * per_s))
        return RequestLimits({**self.by_server, server: limit})

    def without(self, server: str) -> RequestLimits:
        """Return the limits without that of one server."""
        return RequestLimits(
            {
                name: limit
                for name, limit in self.by_server.items()
                if name != server
            }
        )

    def sent(
        self, server: str, position: FleetPosition, now_s: float
    ) -> RequestLimits:
        """Return the limits after a request, which uses a slot of a server."""
        limit = self.by_server.get(server)
        if limit is None:
            return self
        used = dataclasses.replace(
            limit, used_slot=limit.next_slot(position, now_s)
        )
        return RequestLimits({**self.by_server, server: used})

    def wait_s(
        self, server: str, position: FleetPosition, now_s: float
    ) -> float:
        """Return the seconds until a server may be used, 0 if it may now."""
        limit = self.by_server.get(server)
        return limit.wait_s(position, now_s) if limit else 0
