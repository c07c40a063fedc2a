"""Controller of the requests that wait at this host, by service."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random

from ..utils import Metrics
from .dispatch_rounds import DispatchRounds, WaitingRequest
from .dispatch_times import RunTimes
from .host_share import dispatch_quota
from .service_queue import ServiceQueue
from .waiters import QueueBounds

__all__ = ['WaitingRequest', 'WaitingRequests']


class WaitingRequests:
    """
    Queues of all services at this host.

    The name of a queue is that of its service, followed by the version that
    its requests need, if any.

    A request waits here once it has found no server.  In the order of its
    queue it is then told to look again: when another run has ended, when
    another request begins to wait, and at regular intervals.  Nothing is done
    for a service for which no request waits.

    :param random: random generator.
    :param metrics: receives counters and levels.
    :param bounds: bounds of the queue of each service.
    """

    def __init__(
        self,
        random: Random,
        metrics: Metrics,
        bounds: QueueBounds | None = None,
    ) -> None:
        #: Returns the weight of a client account.
        self.find_weight: Callable[[str], float] = _equal_weight
        #: Returns about how many more requests the servers of a service take.
        self.count_free: Callable[[str], float] = _none_free
        #: Returns the requests of a service that wait at other hosts, by rank,
        #: ``None`` if nothing has been heard of other hosts lately.
        self.count_others: Callable[[str], Mapping[int, int] | None] = (
            _no_others
        )
        #: Returns the number of live hosts, this one included.
        self.count_hosts: Callable[[], int] = _one_host
        #: Times that requests needed after their dispatch.
        self.run_times = RunTimes()
        self._random = random
        self._metrics = metrics
        self._bounds = bounds or QueueBounds()
        self._rounds_by_service: dict[str, DispatchRounds] = {}
        self._is_stopping = False

    @property
    def queues(self) -> int:
        """Number of queues that are kept."""
        return len(self._rounds_by_service)

    def may_look(self, service: str, request_id: str) -> bool:
        """Return whether a request may look for a server now."""
        rounds = self._rounds_by_service.get(service)
        if rounds is None or not len(rounds.queue):
            return True
        return rounds.turn == request_id

    def join(self, service: str, request: WaitingRequest) -> None:
        """Let a request wait that has found no server, or refuse it."""
        rounds = self._rounds(service)
        rounds.join(request)
        if self._is_stopping:
            rounds.refuse_all()

    def found(self, service: str, request_id: str) -> None:
        """Take out a request that has found a server."""
        rounds = self._rounds_by_service.get(service)
        if rounds is not None:
            rounds.found(request_id)

    def leave(self, service: str, request_id: str) -> None:
        """Take out a request that no longer waits."""
        rounds = self._rounds_by_service.get(service)
        if rounds is not None:
            rounds.leave(request_id)

    def note_room(self, service: str) -> None:
        """Note that a server of a service may have room."""
        for name, rounds in self._rounds_by_service.items():
            if name.partition(' ')[0] == service and len(rounds.queue):
                rounds.note_room()

    def count_by_service(self) -> Mapping[tuple[str, int], int]:
        """Return the waiting requests by service and present rank."""
        counts = Counter[tuple[str, int]]()
        for name, rounds in self._rounds_by_service.items():
            service = name.partition(' ')[0]
            by_rank = rounds.queue.count_by_rank(_now_s())
            for rank, count in by_rank.items():
                counts[service, rank] += count
        return counts

    def refuse_all(self) -> None:
        """Refuse what waits and may be refused, from now on, on a stop."""
        self._is_stopping = True
        for rounds in self._rounds_by_service.values():
            rounds.refuse_all()

    def _rounds(self, service: str) -> DispatchRounds:
        rounds = self._rounds_by_service.get(service)
        if rounds is None:
            self._forget_unused()
            queue = ServiceQueue(
                self._bounds,
                self._random,
                lambda account: self.find_weight(account),
            )
            rounds = DispatchRounds(
                service,
                queue,
                self._metrics,
                lambda: self._find_quota(service.partition(' ')[0], queue),
            )
            self._rounds_by_service[service] = rounds
        return rounds

    def _forget_unused(self) -> None:
        """Forget the queues of versions that requests no longer need."""
        now_s = _now_s()
        self._rounds_by_service = {
            service: rounds
            for service, rounds in self._rounds_by_service.items()
            if not rounds.is_unused(now_s)
        }

    def _find_quota(self, service: str, queue: ServiceQueue) -> float:
        """
        Return how many requests of a queue may look in one round.

        All may if no other host has waiting requests, or if this host knows of
        no free slot.  Without reports it takes its part by number of hosts.
        """
        others = self.count_others(service)
        is_told = others is not None
        is_alone = not others if is_told else self.count_hosts() == 1
        free = 0 if is_alone else self.count_free(service)
        if free <= 0:
            return math.inf
        own = queue.count_by_rank(_now_s())
        if others is None:
            free /= self.count_hosts()
            others = {}
        return dispatch_quota(free, own, others, self._random)


def _none_free(service: str) -> float:
    return 0


def _no_others(service: str) -> Mapping[int, int] | None:
    return {}


def _one_host() -> int:
    return 1


def _equal_weight(account: str) -> float:
    return 1


def _now_s() -> float:
    return asyncio.get_running_loop().time()
