"""Seeded schedule of planned work and disruptions."""

from __future__ import annotations

import dataclasses
import enum
import random

__all__ = [
    'Event',
    'EventKind',
    'Plan',
    'make_replacement',
    'make_schedule',
]

_WARM_UP_S = 7.0
#: Time after SIGTERM until a host has ended, started again and is ready.
_RETURN_S = 13.0
_MIN_GAP_S = 3.0
_MAX_GAP_S = 9.0
_PAIR_SHARE = 0.4
_FAULT_S = 1.0
_FULL_S = 10.0
#: Engines are full for this long before the signal.
_FULL_LEAD_S = 5.0
_MAX_OFFSET_S = 3.0
_KILL_ALL_SHARE = 0.25


class EventKind(enum.Enum):
    """What happens to the fleet."""

    TERMINATE = 'terminate'
    RELOAD = 'reload'
    CONFIGURE = 'configure'
    FULL_ENGINES = 'full_engines'
    SILENT_ENGINES = 'silent_engines'
    KILL_ENGINE = 'kill_engine'
    SILENT_STORE = 'silent_store'
    KILL_HOST = 'kill_host'
    KILL_ALL = 'kill_all'
    SPEEDS = 'speeds'
    BULK_BURST = 'bulk_burst'
    REPEAT = 'repeat'
    EARLY_ANSWERS = 'early_answers'
    ODD_STATUS = 'odd_status'


#: Share of stops beside which the event happens, by kind.
_PLANNED_SHARES: tuple[tuple[EventKind, float], ...] = (
    (EventKind.CONFIGURE, 0.4),
    (EventKind.RELOAD, 0.3),
    (EventKind.FULL_ENGINES, 0.4),
)
_DISRUPTION_SHARES = (
    (EventKind.SILENT_ENGINES, 0.35),
    (EventKind.KILL_ENGINE, 0.35),
    (EventKind.SILENT_STORE, 0.2),
    (EventKind.KILL_HOST, 0.2),
)
#: Share of soaks in which the event happens and its seconds, by kind.
_LOAD_SHARES = (
    (EventKind.SPEEDS, 0.5, 15.0),
    (EventKind.BULK_BURST, 0.6, 5.0),
    (EventKind.EARLY_ANSWERS, 0.5, 4.0),
    (EventKind.ODD_STATUS, 0.5, 4.0),
)
_REPEAT_SHARE = 0.6
#: Requests of the burst wait when the caller that repeats begins.
_REPEAT_LAG_S = 2.0


@dataclasses.dataclass(frozen=True)
class Event:
    """
    One event of the schedule.

    :param at_s: seconds after the start of the traffic.
    :param kind: what happens.
    :param hosts: numbers of the hosts concerned, empty for none.
    :param for_s: duration in seconds, 0 for an event without one.
    """

    at_s: float
    kind: EventKind
    hosts: tuple[int, ...] = ()
    for_s: float = 0


@dataclasses.dataclass(frozen=True)
class Plan:
    """
    Size of a schedule.

    :param seed: seed of all random choices.
    :param stops: number of planned stops; two hosts may stop in one.
    :param hosts: number of hosts.
    :param is_disrupted: whether disruptions happen beside planned work.
    """

    seed: int
    stops: int
    hosts: int
    is_disrupted: bool


def make_schedule(plan: Plan) -> tuple[Event, ...]:
    """Return the events of a plan in order of time."""
    return _Scheduler(plan).make()


def make_replacement(hosts: int) -> tuple[Event, ...]:
    """
    Return the stops that replace all hosts one by one, and again.

    :param hosts: number of hosts.
    """
    order = (*range(hosts), *range(hosts))
    return tuple(
        Event(_WARM_UP_S + place * _RETURN_S, EventKind.TERMINATE, (number,))
        for place, number in enumerate(order)
    )


class _Scheduler:
    """
    Builds one schedule.

    :param plan: size of the schedule.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._free_at_s: list[float] = [0 for _ in range(plan.hosts)]
        self._events: list[Event] = []

    def make(self) -> tuple[Event, ...]:
        at_s = _WARM_UP_S
        for _ in range(self._plan.stops):
            at_s = self._add_stop(at_s)
            at_s += self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S)
        if self._plan.is_disrupted and self._rng.random() < _KILL_ALL_SHARE:
            all_hosts = tuple(range(self._plan.hosts))
            end_s = max(at_s, *self._free_at_s)
            self._events.append(Event(end_s, EventKind.KILL_ALL, all_hosts))
        if self._plan.is_disrupted:
            self._add_load(at_s)
        return tuple(sorted(self._events, key=lambda event: event.at_s))

    def _add_load(self, end_s: float) -> None:
        """Add load; the other events of a seed do not depend on it."""
        rng = random.Random(f'{self._plan.seed}-load')
        for kind, share, for_s in _LOAD_SHARES:
            at_s = rng.uniform(_WARM_UP_S / 2, end_s)
            if rng.random() >= share:
                continue
            self._events.append(Event(at_s, kind, for_s=for_s))
            is_burst = kind is EventKind.BULK_BURST
            if is_burst and rng.random() < _REPEAT_SHARE:
                at_s += _REPEAT_LAG_S
                event = Event(at_s, EventKind.REPEAT, for_s=for_s)
                self._events.append(event)

    def _add_stop(self, at_s: float) -> float:
        """Add a stop and the events beside it; return its time."""
        count = 1 + (self._rng.random() < _PAIR_SHARE)
        count = min(count, max(self._plan.hosts // 2, 1))
        at_s = max(at_s, self._time_with_free_hosts(count))
        free = self._free_hosts(at_s)
        targets = tuple(self._rng.sample(free, count))
        self._occupy(targets, at_s)
        self._events.append(Event(at_s, EventKind.TERMINATE, targets))
        shares = _PLANNED_SHARES
        if self._plan.is_disrupted:
            shares += _DISRUPTION_SHARES
        for kind, share in shares:
            if self._rng.random() < share:
                self._add_beside(kind, at_s, targets)
        return at_s

    def _time_with_free_hosts(self, count: int) -> float:
        """Return when so many hosts are up besides half of the fleet."""
        needed = min(count + self._plan.hosts // 2, self._plan.hosts)
        return sorted(self._free_at_s)[needed - 1]

    def _free_hosts(self, at_s: float) -> list[int]:
        return [
            number
            for number, free_at_s in enumerate(self._free_at_s)
            if free_at_s <= at_s
        ]

    def _occupy(self, hosts: tuple[int, ...], at_s: float) -> None:
        for number in hosts:
            self._free_at_s[number] = at_s + _RETURN_S

    def _add_beside(
        self, kind: EventKind, stop_at_s: float, targets: tuple[int, ...]
    ) -> None:
        offset_s = self._rng.uniform(-_MAX_OFFSET_S, _MAX_OFFSET_S)
        at_s = stop_at_s + offset_s
        event = Event(at_s, kind, for_s=_FAULT_S)
        if kind is EventKind.FULL_ENGINES:
            event = Event(stop_at_s - _FULL_LEAD_S, kind, for_s=_FULL_S)
        elif kind is EventKind.RELOAD:
            # The change of the settings and the stop come at the same time.
            event = Event(stop_at_s - max(offset_s, 0), kind, targets)
        elif kind is EventKind.KILL_HOST:
            free = self._free_hosts(at_s)
            if not free:
                return
            killed = (self._rng.choice(free),)
            self._occupy(killed, at_s)
            event = Event(at_s, kind, killed)
        self._events.append(event)
