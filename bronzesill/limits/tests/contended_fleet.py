"""Hosts that share the slots of one service, in steps of virtual time."""

from __future__ import annotations

import dataclasses
from collections import Counter, defaultdict
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..host_share import dispatch_quota
from ..service_queue import ServiceQueue
from ..waiters import QueueBounds, QueueRefusal, Waiter

__all__ = ['Load', 'Rates', 'Served', 'serve_by_queue', 'serve_by_timers']

#: Requests a second by rank and account.
Rates: TypeAlias = dict[tuple[int, str], float]
#: Requests with the hosts that they arrive at.
Arrivals: TypeAlias = list[tuple[int, Waiter]]

_STEP_S = 0.1
_RUN_S = 4.0
_DEADLINE_S = 10.0
_END_S = 45.0
#: Time after which a caller that repeats at once sends a request again.
_REPEAT_STEPS = 10


@dataclasses.dataclass(frozen=True)
class Load:
    """
    Load of a service in virtual time.

    :param hosts: number of hosts.
    :param slots: number of slots by time in seconds.
    :param rates: requests a second by rank and account, by time in seconds.
    :param repeats: accounts that repeat a refused request at once.
    :param first_host: host from which on requests arrive, by time, as part of
        all hosts.
    """

    hosts: int
    slots: Callable[[float], int]
    rates: Callable[[float], Rates]
    repeats: frozenset[str] = frozenset()
    first_host: Callable[[float], float] = float

    def arrivals(self, random: Random) -> Arrivals:
        """Return the requests with their hosts, in order of arrival."""
        arriving: Arrivals = []
        for step in range(int(_END_S / _STEP_S)):
            now_s = step * _STEP_S
            first = int(self.first_host(now_s) * self.hosts) % self.hosts
            for (rank, account), rate in self.rates(now_s).items():
                count = int(rate * _STEP_S + random.random())
                for number in range(count):
                    waiter = Waiter(
                        f'{step} {rank} {account} {number}',
                        account,
                        now_s,
                        now_s + _DEADLINE_S,
                        _RUN_S,
                        rank,
                        fingerprint=len(arriving) + 1,
                    )
                    host = random.randrange(first, self.hosts)
                    arriving.append((host, waiter))
        return arriving

    @property
    def best_share(self) -> float:
        """Share that is served if no slot is ever idle or wasted."""
        times = [step * _STEP_S for step in range(int(_END_S / _STEP_S))]
        sent = sum(sum(self.rates(at_s).values()) for at_s in times)
        runs = sum(self.slots(at_s) / _RUN_S for at_s in times)
        return min(runs / sent, 1)


class Served:
    """Counts of requests that were served within their target, and of all."""

    def __init__(self) -> None:
        self._sent = Counter[str]()
        self._served = Counter[str]()

    def count_sent(self, waiter: Waiter) -> None:
        """Count a request of a caller."""
        self._sent.update(('all', *waiter.kinds))

    def count_started(self, waiter: Waiter, now_s: float) -> None:
        """Count a request that got a slot."""
        if now_s <= waiter.latest_start_s:
            self._served.update(('all', *waiter.kinds))

    def share(self, kind: str = 'all') -> float:
        """Return the part of the requests of a kind that were served."""
        return self._served[kind] / self._sent[kind]

    @property
    def kinds(self) -> tuple[str, ...]:
        """All kinds of requests."""
        return tuple(self._sent)


def _steps(load: Load, random: Random) -> list[Arrivals]:
    steps: defaultdict[int, Arrivals] = defaultdict(list)
    for host, waiter in load.arrivals(random):
        steps[round(waiter.joined_at_s / _STEP_S)].append((host, waiter))
    return [steps[step] for step in range(int(_END_S / _STEP_S))]


def serve_by_timers(load: Load, seed: int) -> Served:
    """Let each request ask again every 0.1 s, in the order of its timers."""
    random = Random(seed)
    served = Served()
    ends_at_s: list[float] = []
    waiting: list[tuple[float, Waiter]] = []
    for step, arriving in enumerate(_steps(load, random)):
        now_s = step * _STEP_S
        ends_at_s = [at_s for at_s in ends_at_s if at_s > now_s]
        for _, waiter in arriving:
            served.count_sent(waiter)
            waiting.append((random.random(), waiter))
        waiting = sorted(
            (
                (phase, waiter)
                for phase, waiter in waiting
                if waiter.deadline_at_s > now_s
            ),
            key=lambda item: item[0],
        )
        free = max(load.slots(now_s) - len(ends_at_s), 0)
        for _, waiter in waiting[:free]:
            served.count_started(waiter, now_s)
            ends_at_s.append(now_s + _RUN_S)
        waiting = waiting[free:]
    return served


def serve_by_queue(load: Load, seed: int) -> Served:
    """Serve the requests by the queues of the hosts."""
    return _QueuedFleet(load, seed).run()


class _QueuedFleet:
    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._served = Served()
        self._queues = [
            ServiceQueue(QueueBounds(), self._random, lambda account: 1)
            for _ in range(load.hosts)
        ]
        self._ends_at_s: list[float] = []
        #: Requests that their callers send once more, with the host.
        self._repeated: defaultdict[int, Arrivals] = defaultdict(list)
        self._step = 0

    def run(self) -> Served:
        """Serve all requests and return what was served."""
        for step, arriving in enumerate(_steps(self._load, self._random)):
            now_s = step * _STEP_S
            for host, waiter in arriving:
                self._served.count_sent(waiter)
                self._offer(host, waiter, now_s)
            self._step = step
            for host, waiter in self._repeated.pop(step, ()):
                self._offer(host, waiter, now_s)
            self._ends_at_s = [at_s for at_s in self._ends_at_s if at_s > now_s]
            self._dispatch(now_s)
        return self._served

    def _offer(self, host: int, waiter: Waiter, now_s: float) -> None:
        self._note(host, self._queues[host].offer(waiter, now_s))

    def _note(self, host: int, refusals: tuple[QueueRefusal, ...]) -> None:
        for refusal in refusals:
            if refusal.waiter.account in self._load.repeats:
                later = self._repeated[self._step + _REPEAT_STEPS]
                later.append((host, refusal.waiter))

    def _dispatch(self, now_s: float) -> None:
        busy = [number for number, queue in enumerate(self._queues) if queue]
        for host in busy:
            self._note(host, self._queues[host].refuse_late(now_s))
        free = self._load.slots(now_s) - len(self._ends_at_s)
        counts = {
            host: Counter(self._queues[host].count_by_rank(now_s))
            for host in busy
        }
        total = sum(counts.values(), Counter[int]())
        self._random.shuffle(busy)
        for host in busy:
            quota = dispatch_quota(
                free, counts[host], total - counts[host], self._random
            )
            self._start(host, quota, now_s)

    def _start(self, host: int, quota: int, now_s: float) -> None:
        queue = self._queues[host]
        for waiter in queue.ordered(now_s)[:quota]:
            if len(self._ends_at_s) < self._load.slots(now_s):
                queue.dispatch(waiter.request_id, now_s)
                self._served.count_started(waiter, now_s)
                self._ends_at_s.append(now_s + _RUN_S)
