"""Controller of all generations of one daemon."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterator
from random import Random

from ..routing import ServerTracker
from ..upstream import AnswerMemory
from ..utils import BronzesillError, Metrics, ResultCode
from .activity_lookup import ActivityLookup
from .attempt_placement import AttemptPlacer
from .book_observer import BookObserver
from .locations import LocationDirectory
from .placement import CandidateSearch, ServerChoice
from .request import GenerationRequest
from .shared_probes import ProbeSharingClient
from .stall_detection import StallPolicy
from .state import GenerationState
from .stream_client import StreamClient
from .subscription import Subscription
from .task import GenerationTask

__all__ = ['GenerationSettings', 'GenerationsController']


@dataclasses.dataclass(frozen=True)
class GenerationSettings:
    """
    Settings of generations.

    :param policy: default silence timeouts and retry limits.
    :param reconnect_window_s: seconds for which a generation without a
        reader is kept, if its caller can reconnect.
    """

    policy: StallPolicy
    reconnect_window_s: float


class GenerationsController:
    """
    Owner of the generations of one daemon.

    :param daemon: name of this daemon.
    :param failure_domain: failure domain of this daemon.
    :param tracker: load and health of the backend servers.
    :param client: client for engine streams.
    :param directory: location records of generations.
    :param metrics: receiver of counters.
    :param random: random number generator for choosing servers.
    """

    def __init__(
        self,
        daemon: str,
        failure_domain: str,
        tracker: ServerTracker,
        client: StreamClient,
        directory: LocationDirectory,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.settings = GenerationSettings(StallPolicy(), 8)
        #: Receives notifications about attempts and forwards observations to
        #: the daemon.
        self.observer = BookObserver(daemon, tracker, directory, metrics)
        #: Bytes of all answers that this host keeps.
        self.memory = AnswerMemory()
        #: Chooses the servers of attempts.
        self.servers = ServerChoice(failure_domain, tracker, random)
        activities = ActivityLookup(tracker, self._list_states)
        self._client = ProbeSharingClient(client, activities)
        #: Places the attempts of the generations.
        self.placer = AttemptPlacer(
            daemon,
            tracker,
            self.servers,
            CandidateSearch(self.servers, self._client),
            directory,
            self._list_states,
            activities,
        )
        self.tasks_by_key: dict[str, GenerationTask] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def subscribe(
        self,
        request: GenerationRequest,
        fingerprint: int,
        policy: StallPolicy | None = None,
    ) -> Subscription:
        """
        Subscribe to the generation of a request; start one if there is none.

        :param request: request to answer.
        :param fingerprint: hash of the request's body.
        :param policy: silence timeouts and retry limits, or None to use
            the policy of ``settings``.
        :returns: queue that receives the answer from its first token.
        :raises BronzesillError: the request id is in use by a request with
            another body.
        """
        key = request.key
        generation = self.tasks_by_key.get(key)
        if generation is None:
            policy = policy or self.settings.policy
            generation = self._start_generation(
                request, key, fingerprint, policy
            )
        elif generation.fingerprint != fingerprint:
            raise _request_id_conflict()
        queue: Subscription = asyncio.Queue()
        generation.subscribers.add(queue)
        return queue

    def unsubscribe(
        self, request: GenerationRequest, queue: Subscription
    ) -> None:
        """Remove a reader from its generation, if it still exists."""
        generation = self.tasks_by_key.get(request.key)
        if generation is not None:
            generation.subscribers.remove(queue)

    def has_sent(self, request: GenerationRequest) -> bool:
        """Return whether an attempt at a request was sent to a server."""
        generation = self.tasks_by_key.get(request.key)
        return generation is None or generation.state.sends > 0

    def blocked_for_s(self, request: GenerationRequest) -> float:
        """
        Return the seconds for which a request is refused, 0 if it is not.

        :param request: request whose prompt may crash servers.
        """
        return self.placer.blocked_for_s(request)

    @property
    def running(self) -> int:
        """Number of generations that have not ended."""
        return sum(
            not generation.state.has_ended
            for generation in self.tasks_by_key.values()
        )

    def log_unfinished(self) -> int:
        """Log the answers that are not complete; return their number."""
        unfinished = [
            generation
            for generation in self.tasks_by_key.values()
            if not generation.state.has_ended
        ]
        for generation in unfinished:
            generation.log_cut()
        return len(unfinished)

    async def stop(self) -> None:
        """Cancel all generations and wait until their tasks have ended."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def drop_blocked(self) -> None:
        """End the attempts of blocked requests that wait at a server."""
        for generation in tuple(self.tasks_by_key.values()):
            if self.blocked_for_s(generation.request):
                generation.drop_unanswered_attempt()

    def _start_generation(
        self,
        request: GenerationRequest,
        key: str,
        fingerprint: int,
        policy: StallPolicy,
    ) -> GenerationTask:
        now_s = asyncio.get_running_loop().time()
        state = GenerationState(
            deadline_at_s=now_s + request.deadline_s,
            policy=policy,
        )
        unread_timeout_s = (
            self.settings.reconnect_window_s if request.can_reconnect else 0
        )
        generation = GenerationTask(
            request=request,
            fingerprint=fingerprint,
            state=state,
            client=self._client,
            placer=self.placer,
            find_address=self.servers.find_address,
            observer=self.observer,
            memory=self.memory,
            unread_timeout_s=unread_timeout_s,
        )
        self.tasks_by_key[key] = generation
        task = asyncio.create_task(self._run(generation, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return generation

    def _list_states(self) -> Iterator[GenerationState]:
        return (task.state for task in self.tasks_by_key.values())

    async def _run(self, generation: GenerationTask, key: str) -> None:
        try:
            await generation.run()
        finally:
            self.tasks_by_key.pop(key, None)
            self.placer.queue.leave(generation.request)


def _request_id_conflict() -> BronzesillError:
    return BronzesillError(
        ResultCode.REQUEST_ID_CONFLICT,
        'not run: the request id is in use by a request with another body',
    )
