"""Rounds in which the waiting requests of one service look for servers."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable

from ..utils import Metrics, PartLogger
from .service_queue import ServiceQueue
from .waiters import QueueRefusal, Waiter, WaitForecast

__all__ = ['DispatchRounds', 'WaitingRequest']

_RETRY_INTERVAL_S = 0.1
#: Time after which a request that was to look for a server is passed over.
_TURN_S = 0.3
#: Requests of a round that find no server, after which others need not look.
_MAX_MISSES = 3
#: Time for which an empty queue is kept, in which recent shares decay.
_KEPT_EMPTY_S = 60.0

_log = PartLogger('limits')


@dataclasses.dataclass(frozen=True)
class WaitingRequest:
    """
    A request that waits, and what is done with it.

    :param waiter: the request as the queue sees it.
    :param log_id: id of the request for the log.
    :param on_turn: called when the request may look for a server.
    :param on_refused: called when the request is refused as not run.
    """

    waiter: Waiter
    log_id: str
    on_turn: Callable[[], None]
    on_refused: Callable[[QueueRefusal], None]


class DispatchRounds:
    """
    Rounds in which the waiting requests of one service look for servers.

    :param service: name of the service.
    :param queue: the waiting requests.
    :param metrics: receives counters and levels.
    :param find_quota: returns how many requests may be dispatched in a round.
    """

    def __init__(
        self,
        service: str,
        queue: ServiceQueue,
        metrics: Metrics,
        find_quota: Callable[[], float],
    ) -> None:
        self.queue = queue
        #: Request that may look for a server now, empty for none.
        self.turn = ''
        self._service = service
        self._metrics = metrics
        self._requests: dict[str, WaitingRequest] = {}
        self._find_quota = find_quota
        self._quota: float = 0
        #: Requests that found no server in this round, and in any round since
        #: all others have looked.
        self._missed: set[str] = set()
        self._tried: set[str] = set()
        self._turn_since_s: float = 0
        self._joined_at_s: float = 0
        self._shown_ranks: frozenset[int] = frozenset()
        self._timer: asyncio.TimerHandle | None = None

    def is_unused(self, now_s: float) -> bool:
        """Return whether no request has waited for some time."""
        is_recent = now_s - self._joined_at_s < _KEPT_EMPTY_S
        return not (is_recent or len(self.queue))

    def join(self, request: WaitingRequest) -> None:
        """Let a request wait, or note that it has found no server."""
        request_id = request.waiter.request_id
        if request_id in self.queue:
            self._miss(request_id)
            return
        now_s = _now_s()
        self._joined_at_s = now_s
        self._requests[request_id] = request
        refusals = self.queue.offer(request.waiter, now_s)
        if request_id in self.queue:
            self._log_waiting(request, now_s)
            # The request notes first that it waits.
            asyncio.get_running_loop().call_soon(self.begin)
        self._refuse(refusals)
        self._schedule()

    def found(self, request_id: str) -> None:
        """Take out a request that has found a server, and go on."""
        now_s = _now_s()
        waiter = self.queue.dispatch(request_id, now_s)
        if waiter is None:
            return
        _log.event(
            'dispatched',
            request=self._requests[request_id].log_id,
            service=self._service,
            rank=waiter.rank,
            waited_s=round(now_s - waiter.joined_at_s, 3),
            left_s=round(waiter.deadline_at_s - now_s, 3),
            waiting=len(self.queue),
            quota=self._quota if math.isfinite(self._quota) else None,
        )
        self._quota -= int(request_id == self.turn)
        self._end_turn(request_id)

    def leave(self, request_id: str) -> None:
        """Take out a request that no longer waits, and go on."""
        if self.queue.leave(request_id) is not None:
            self._end_turn(request_id)

    def begin(self) -> None:
        """Begin a round unless one goes on."""
        now_s = _now_s()
        self._refuse(self.queue.refuse_late(now_s))
        is_stuck = now_s - self._turn_since_s >= _TURN_S
        if self.turn and not is_stuck:
            return
        self._missed = {self.turn} - {''}
        self._quota = self._find_quota()
        if math.isfinite(self._quota):
            self._metrics.gauge(f'waiting.{self._service}.quota', self._quota)
        self._pass_turn()

    def note_room(self) -> None:
        """Begin a round, or the one that goes on once more."""
        # Those that have looked in this round may have missed the room.
        self._missed.clear()
        self.begin()

    def refuse_all(self) -> None:
        """Refuse all requests that may be refused."""
        self._refuse(self.queue.refuse_all(_now_s()))

    def _miss(self, request_id: str) -> None:
        if request_id != self.turn:
            return
        self._missed.add(request_id)
        self._tried.add(request_id)
        self._pass_turn()

    def _end_turn(self, request_id: str) -> None:
        self._requests.pop(request_id, None)
        self._tried.discard(request_id)
        self._show_waiting()
        if request_id == self.turn:
            self._pass_turn()

    def _pass_turn(self) -> None:
        self.turn = ''
        if self._quota <= 0 or len(self._missed) >= _MAX_MISSES:
            return
        now_s = _now_s()
        request_id = self._find_next(now_s)
        if request_id:
            self.turn = request_id
            self._turn_since_s = now_s
            self._requests[request_id].on_turn()

    def _find_next(self, now_s: float) -> str:
        """
        Return the request that looks next in this round, empty for none.

        The first in order may have no server for reasons of their own, so the
        last of a round is one that has not looked for the longest.
        """
        left = [
            waiter.request_id
            for waiter in self.queue.ordered(now_s)
            if waiter.request_id not in self._missed
        ]
        if len(self._missed) == _MAX_MISSES - 1:
            if self._tried.issuperset(left):
                self._tried.clear()
            left = [other for other in left if other not in self._tried]
        return left[0] if left else ''

    def _schedule(self) -> None:
        if self._timer is None and len(self.queue):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_RETRY_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.begin()
        self._schedule()

    def _refuse(self, refusals: tuple[QueueRefusal, ...]) -> None:
        for refusal in refusals:
            request_id = refusal.waiter.request_id
            request = self._requests[request_id]
            self._metrics.incr(f'waiting.refused.{refusal.cause.value}')
            self._log_refusal(request.log_id, refusal)
            self._end_turn(request_id)
            request.on_refused(refusal)

    def _log_waiting(self, request: WaitingRequest, now_s: float) -> None:
        waiter = request.waiter
        forecast = self.queue.forecast(waiter, now_s)
        self._show_waiting()
        _log.event(
            'waiting',
            request=request.log_id,
            service=self._service,
            rank=waiter.rank,
            **_describe(waiter, forecast, now_s),
        )

    def _log_refusal(self, log_id: str, refusal: QueueRefusal) -> None:
        waiter = refusal.waiter
        now_s = _now_s()
        _log.event(
            'rejected',
            request=log_id,
            service=self._service,
            cause=refusal.cause.value,
            rank=waiter.rank,
            waited_s=round(now_s - waiter.joined_at_s, 3),
            **_describe(waiter, refusal.forecast, now_s),
            retry_after_s=round(refusal.retry_after_s, 3),
        )

    def _show_waiting(self) -> None:
        counts = self.queue.count_by_configured_rank()
        for rank in self._shown_ranks.union(counts):
            self._metrics.gauge(
                f'waiting.{self._service}.{rank}', counts.get(rank, 0)
            )
        self._shown_ranks = frozenset(counts)


def _describe(
    waiter: Waiter, forecast: WaitForecast, now_s: float
) -> dict[str, float | None]:
    """Return what a prediction follows from, for the log."""
    return {
        'ahead': forecast.ahead,
        'rate': forecast.rate,
        'rate_age_s': round(forecast.rate_age_s, 3),
        'expected_s': forecast.wait_s,
        'needed_s': round(waiter.needed_s, 3),
        'left_s': round(waiter.deadline_at_s - now_s, 3),
    }


def _now_s() -> float:
    return asyncio.get_running_loop().time()
