"""
Share of one daemon in the requests that a server takes from all daemons.

A limit gives numbered slots in time, which the daemons own in turn.  All of
them count from the same zero of Unix time, so that they keep a limit together
without asking each other.

A brittle service names the rejections that each of its servers survives in a
second.  Its servers get no more than they have free slots, as far as the
daemons know each other's use.  What they may send before they know of it is
limited in the same way.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping
from dataclasses import field

from ..utils import stable_hash

__all__ = [
    'FleetPosition',
    'RejectionLimits',
    'RequestLimit',
    'RequestLimits',
    'ServerRoom',
]

#: A slot that was not used within this time is lost, so that few add up.
_SLOT_VALID_S = 1.2
#: A lower limit counts as this: otherwise it would never be seen to end.
_MIN_LIMIT_PER_S = 0.1
#: Answers from before the limit may arrive late and must not end it.
_END_DELAY_S = 1.0
#: Smaller changes of a limit keep its slots.
_SAME_LIMIT_RATIO = 0.05
#: Time within which the daemons learn of each other's requests: they tell
#: each other in a small fleet, and collectors in a large one.
_SHARING_DELAY_S = 0.06
_COLLECTING_DELAY_S = 0.1
_MAX_SMALL_FLEET = 16
#: Validity of a slot in gaps between this daemon's requests.
_VALID_GAPS = 2
#: Longer gaps between requests count as this.
_MAX_GAP_S = 1.2
_GAP_SMOOTHING = 0.3
#: Shorter last gaps, as in a burst, shorten the mean.
_LAST_GAP_RATIO = 2
#: A server that rejected a request counts as full for this long.
_FULL_S = 0.3
#: Later, requests have ended and more slots are free.
_MAX_WAIT_S = 1.0
#: Part of the rejections that requests to full servers may cause.
_PROBING_RATIO = 0.25


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


@dataclasses.dataclass(frozen=True)
class ServerRoom:
    """
    Room of a server for requests.

    :param slots: requests that it runs at a time.
    :param used: requests of all daemons on it, as known to this one.
    """

    slots: int
    used: int

    @property
    def free(self) -> int:
        """Slots that no request uses."""
        return max(self.slots - self.used, 0)


@dataclasses.dataclass(frozen=True)
class _BrittleService:
    """
    What the servers of a service say, and this daemon's requests to it.

    :param rejections_per_s: rejections that each survives in a second.
    :param named_at_s: Unix time in seconds of the last answer that named it.
    :param wanted_at_s: Unix time in seconds of the last request.
    :param last_gap_s: seconds between the last two requests.
    :param mean_gap_s: exponentially smoothed seconds between two requests.
    """

    rejections_per_s: float
    named_at_s: float
    wanted_at_s: float = -math.inf
    last_gap_s: float = _MAX_GAP_S
    mean_gap_s: float = _MAX_GAP_S

    @property
    def slot_valid_s(self) -> float:
        """
        Seconds after which an unused slot is lost.

        The more requests there are, the shorter: otherwise the slots of many
        daemons would be used at once as soon as a server has room.
        """
        gap_s = min(self.mean_gap_s, _LAST_GAP_RATIO * self.last_gap_s)
        return _VALID_GAPS * gap_s


@dataclasses.dataclass(frozen=True)
class _BrittleServer:
    """
    Requests of this daemon to a server of a brittle service.

    :param sent_at_s: Unix time in seconds of the last one.
    :param full_until_s: Unix time in seconds until which it counts as full.
    """

    sent_at_s: float = -math.inf
    full_until_s: float = -math.inf

    def is_full(self, now_s: float) -> bool:
        """Return whether a request was rejected shortly before."""
        return 0 < self.full_until_s - now_s <= _FULL_S


@dataclasses.dataclass(frozen=True)
class RejectionLimits:
    """
    Brittle services and the requests of this daemon to their servers.

    :param by_service: what services say, by name.
    :param by_server: own requests, by name of the server.
    """

    by_service: Mapping[str, _BrittleService] = field(default_factory=dict)
    by_server: Mapping[str, _BrittleServer] = field(default_factory=dict)

    def named(
        self, service: str, per_s: float | None, now_s: float
    ) -> RejectionLimits:
        """
        Return the limits after an answer of any server of a service.

        :param service: name of the service.
        :param per_s: rejections in a second that each of its servers
            survives, none if the answer names none.
        :param now_s: current Unix time in seconds.
        """
        known = self.by_service.get(service)
        if per_s is not None:
            known = known or _BrittleService(per_s, now_s)
            named = dataclasses.replace(
                known, rejections_per_s=per_s, named_at_s=now_s
            )
            return self._with_service(service, named)
        if known is None or abs(now_s - known.named_at_s) < _END_DELAY_S:
            return self
        others = {
            name: named
            for name, named in self.by_service.items()
            if name != service
        }
        return dataclasses.replace(self, by_service=others)

    def wanted(self, service: str, now_s: float) -> RejectionLimits:
        """Return the limits after a request for any server of a service."""
        known = self.by_service.get(service)
        if known is None:
            return self
        last_gap_s = min(max(now_s - known.wanted_at_s, 0), _MAX_GAP_S)
        wanted = dataclasses.replace(
            known,
            wanted_at_s=now_s,
            last_gap_s=last_gap_s,
            mean_gap_s=known.mean_gap_s
            + _GAP_SMOOTHING * (last_gap_s - known.mean_gap_s),
        )
        return self._with_service(service, wanted)

    def listed(self, servers: Collection[str], now_s: float) -> RejectionLimits:
        """Return the limits for the servers that are listed now."""
        # All daemons learn of a new server, which has room, at the same time:
        # its slots count from then on.
        new = _BrittleServer(sent_at_s=now_s)
        return dataclasses.replace(
            self,
            by_server={name: self.by_server.get(name, new) for name in servers},
        )

    def sent(self, server: str, now_s: float) -> RejectionLimits:
        """Return the limits after a request to a server."""
        known = self.by_server.get(server, _BrittleServer())
        return self._with_server(
            server, dataclasses.replace(known, sent_at_s=now_s)
        )

    def rejected(self, server: str, now_s: float) -> RejectionLimits:
        """Return the limits after a server rejected a request."""
        known = self.by_server.get(server, _BrittleServer())
        return self._with_server(
            server, dataclasses.replace(known, full_until_s=now_s + _FULL_S)
        )

    def wait_s(
        self,
        server: str,
        service: str,
        room: ServerRoom,
        position: FleetPosition,
        now_s: float,
    ) -> float:
        """
        Return the seconds until a server may be used, 0 if it may now.

        :param server: name of the server.
        :param service: name of its service.
        :param room: room of the server.
        :param position: place of this daemon among the live ones.
        :param now_s: current Unix time in seconds.
        """
        named = self.by_service.get(service)
        if named is None:
            return 0
        known = self.by_server.get(server, _BrittleServer())
        free = 0 if known.is_full(now_s) else room.free
        if free and position.count == 1:
            return 0
        is_small = position.count <= _MAX_SMALL_FLEET
        delay_s = _SHARING_DELAY_S if is_small else _COLLECTING_DELAY_S
        per_s = free / delay_s + named.rejections_per_s * _PROBING_RATIO
        if not per_s:
            return _FULL_S
        # After a step of the clock, the last request seems to lie ahead.
        sent_at_s = known.sent_at_s if known.sent_at_s <= now_s else -math.inf
        used_until_s = max(sent_at_s, now_s - named.slot_valid_s)
        wait_s = _slot_wait_s(server, used_until_s, per_s, position, now_s)
        return min(wait_s, _MAX_WAIT_S)

    def _with_service(
        self, service: str, named: _BrittleService
    ) -> RejectionLimits:
        return dataclasses.replace(
            self, by_service={**self.by_service, service: named}
        )

    def _with_server(
        self, server: str, known: _BrittleServer
    ) -> RejectionLimits:
        return dataclasses.replace(
            self, by_server={**self.by_server, server: known}
        )


def _slot_wait_s(
    server: str,
    used_until_s: float,
    per_s: float,
    position: FleetPosition,
    now_s: float,
) -> float:
    """
    Return the seconds until a slot of this daemon, 0 if it has one now.

    A request uses all slots before it, so that they do not add up.

    :param server: name of the server; it says whose slot is the first.
    :param used_until_s: Unix time in seconds up to which slots are used or
        lost.
    :param per_s: slots per second.
    :param position: place of this daemon among the live ones.
    :param now_s: current Unix time in seconds.
    """
    rank = position.rank + stable_hash('slots', server)
    current = math.floor(now_s * per_s)
    last_own = current - (current - rank) % position.count
    if last_own / per_s > used_until_s:
        return 0
    return (last_own + position.count) / per_s - now_s
