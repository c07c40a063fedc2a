"""Controller of all generations of one daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeAlias

from ..limits import RetryAllowance
from ..routing import ServerTracker
from ..upstream import AnswerMemory
from ..utils import Address, BronzesillError, Metrics, PartLogger, ResultCode
from .book_observer import BookObserver
from .locations import LocationDirectory, LocationRecord
from .messages import (
    Attached,
    ChooseServer,
    Event,
    LookedElsewhere,
    LookElsewhere,
    NoServer,
    PlacementRefused,
)
from .placement import ServerChoice
from .request import GenerationRequest
from .stall_detection import StallPolicy
from .state import GenerationState
from .stream_client import StreamClient
from .subscription import Subscription
from .task import Choosers, GenerationTask, Placement

__all__ = ['GenerationSettings', 'GenerationsController']

#: Time from a crash until a block that follows from it is known.
_JUDGEMENT_S = 0.3

PickVersion: TypeAlias = Callable[[GenerationRequest, bool], str]

_log = PartLogger('generations')


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
        #: Returns the version for a request without accepted tokens.
        self.pick_version: PickVersion = _requested_version
        #: Returns the version that resumes an answer, from the model and the
        #: version that began the answer.
        self.resume_version: Callable[[str, str], str] = _same_version
        #: Bytes of all answers that this host keeps.
        self.memory = AnswerMemory()
        #: Retry budget for attempts after the first, or None for no limit.
        self.allowance: RetryAllowance | None = None
        #: Returns the engine that holds the prompt of a resumed request.
        self.find_prompt: Callable[[GenerationRequest], Awaitable[str]] = (
            _no_prompt
        )
        #: Returns the seconds for which a request is refused because its prompt
        #: crashes servers, 0 if it is not.
        self.blocked_for_s: Callable[[GenerationRequest], float] = _not_blocked
        #: Returns the identity of a request that may crash servers, empty for
        #: others, from the request and the losses of its servers.
        self.find_held_identity: Callable[[GenerationRequest, int], str] = (
            _not_held
        )
        #: Brings the engine use of the other daemons up to date.
        self.refresh_usage: Callable[[], Awaitable[None]] = _do_nothing
        #: Chooses the servers of attempts.
        self.servers = ServerChoice(failure_domain, tracker, random)
        self.tasks_by_key: dict[str, GenerationTask] = {}
        self._daemon = daemon
        self._tracker = tracker
        self._client = client
        self._directory = directory
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

    def find_address(self, server: str) -> Address | None:
        """Return the address of a backend server, or None if unknown."""
        backend = self._tracker.servers_by_name.get(server)
        return backend.address if backend else None

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
            choosers=Choosers(self._place, self._look, self._return_send),
            find_address=self.find_address,
            observer=self.observer,
            memory=self.memory,
            unread_timeout_s=unread_timeout_s,
        )
        self.tasks_by_key[key] = generation
        task = asyncio.create_task(self._run(generation, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return generation

    async def _run(self, generation: GenerationTask, key: str) -> None:
        try:
            await generation.run()
        finally:
            self.tasks_by_key.pop(key, None)

    async def _place(
        self, generation: GenerationTask, action: ChooseServer
    ) -> Placement:
        held_identity = await self._hold(generation, action)
        if self.blocked_for_s(generation.request) and not action.is_resume:
            return Placement(
                PlacementRefused(_blocked_code(generation)), generation.request
            )
        request = self._request_with_version(
            generation, action, is_held=bool(held_identity)
        )
        generation.request = request
        self._tracker.limiter.record_demand(request.model)
        await self.refresh_usage()
        is_first = generation.state.attempt == 0
        prompt_holder = await self.find_prompt(request) if is_first else ''
        requirements = self.servers.make_requirements(
            request, action, prompt_holder
        )
        choice = self.servers.choose(requirements, held_identity)
        if choice is None:
            return _not_placed(generation, request, 'no_server')
        if not self._may_send(generation):
            return _not_placed(generation, request, 'retry_budget')
        generation.unplaced_reason = ''
        self._tracker.limiter.record_choice(choice.server)
        chosen = Placement(choice, request)
        if not request.can_reconnect:
            return chosen
        proposed = self._location_record(generation, choice.server)
        current = await self._directory.claim(proposed)
        if current == proposed:
            return chosen
        if action.is_resume:
            # Another daemon also resumes this answer. Its further tokens may
            # differ from those of this daemon, so this answer must not join
            # that generation.
            return Placement(chosen.event, _with_new_generation_id(request))
        return await self._join(request, proposed, current)

    def _request_with_version(
        self,
        generation: GenerationTask,
        action: ChooseServer,
        *,
        is_held: bool,
    ) -> GenerationRequest:
        request = generation.request
        if not action.is_resume:
            # No token has been delivered, so the version can still change.
            # A version that was rolled back must not compute the answer, and
            # a version under trial must not be retried after it lost the
            # request.
            is_retry = generation.state.attempt > 0 or is_held
            version = self.pick_version(request, is_retry)
            return dataclasses.replace(request, version=version)
        if not request.version:
            return request
        version = self.resume_version(request.model, request.version)
        return dataclasses.replace(request, version=version)

    async def _hold(
        self, generation: GenerationTask, action: ChooseServer
    ) -> str:
        """
        Return the identity of a request that is held, empty if it is not.

        After a loss it waits, so that it does not outrun its judgement.
        """
        identity = self._find_held_identity(generation, action)
        if identity and generation.unanswered_losses:
            await asyncio.sleep(_JUDGEMENT_S)
        return identity

    def _find_held_identity(
        self, generation: GenerationTask, action: ChooseServer
    ) -> str:
        if action.is_resume:
            return ''
        return self.find_held_identity(
            generation.request, generation.unanswered_losses
        )

    def _may_send(self, generation: GenerationTask) -> bool:
        if self.allowance is None:
            return True
        model = generation.request.model
        if not generation.state.attempt:
            self.allowance.record_first_attempt(model)
            return True
        if not generation.state.sends:
            # Nothing was sent yet.
            return True
        return self.allowance.try_consume_retry(
            model, has_begun=generation.has_begun
        )

    def _return_send(self, generation: GenerationTask) -> None:
        if self.allowance is not None and generation.state.sends:
            self.allowance.return_retry(generation.request.model)

    async def _look(
        self, generation: GenerationTask, action: LookElsewhere
    ) -> LookedElsewhere:
        alive, candidate = await asyncio.gather(
            self._accepts(action.server, is_known_dead=action.has_refused),
            self._find_candidate(generation, action),
        )
        # Another server that accepts where this one refuses clears the path.
        is_path_suspected = alive or not candidate
        return LookedElsewhere(
            action.attempt,
            candidate,
            is_alive=alive,
            is_shared=is_path_suspected and self._is_silence_shared(generation),
        )

    async def _find_candidate(
        self, generation: GenerationTask, action: LookElsewhere
    ) -> str:
        request = generation.request
        allowance = self.allowance
        if allowance is not None and not allowance.allows_retry(
            request.model, has_begun=generation.has_begun
        ):
            return ''
        identity = self._find_held_identity(generation, action.choice)
        requirements = self.servers.make_requirements(request, action.choice)
        if requirements.copy_holder:
            holder = self.servers.choose(requirements, identity)
            if holder is not None and await self._accepts(holder.server):
                return holder.server
        without_copy = dataclasses.replace(requirements, copy_holder='')
        # All others may have lost an attempt of this generation.
        lone = dataclasses.replace(
            without_copy, excluded=frozenset((action.server,))
        )
        chosen = self.servers.choose(
            without_copy, identity
        ) or self.servers.choose(lone, identity)
        if chosen is None or not await self._accepts(chosen.server):
            return ''
        return chosen.server

    async def _accepts(
        self, server: str, *, is_known_dead: bool = False
    ) -> bool:
        address = self.find_address(server)
        if is_known_dead or address is None:
            return False
        return await self._client.is_alive(server, address)

    def _is_silence_shared(self, generation: GenerationTask) -> bool:
        look_after_s = generation.state.policy.look_after_s
        if look_after_s is None:
            return False
        states = (task.state for task in self.tasks_by_key.values())
        return self.servers.is_silence_shared(states, look_after_s)

    def _location_record(
        self, generation: GenerationTask, server: str
    ) -> LocationRecord:
        request = generation.request
        return LocationRecord(
            request_key=request.key,
            fingerprint=generation.fingerprint,
            generation_id=request.generation_id,
            version=request.version,
            seed=request.seed,
            server=server,
            attempt=generation.state.attempt + 1,
            owner=self._daemon,
        )

    async def _join(
        self,
        request: GenerationRequest,
        proposed: LocationRecord,
        current: LocationRecord,
    ) -> Placement:
        if current.fingerprint != proposed.fingerprint:
            refusal = PlacementRefused(ResultCode.REQUEST_ID_CONFLICT)
            return Placement(refusal, request)
        _log.info(
            'request %s joins running generation %s on backend server %s',
            request.request_id,
            current.generation_id,
            current.server,
        )
        await self._directory.take_over(
            dataclasses.replace(current, owner=self._daemon)
        )
        adopted = dataclasses.replace(
            request,
            generation_id=current.generation_id,
            version=current.version,
            seed=current.seed,
        )
        event: Event = Attached(current.server, current.attempt)
        return Placement(event, adopted)


def _not_placed(
    generation: GenerationTask, request: GenerationRequest, reason: str
) -> Placement:
    """Let a generation wait; log why, once for each reason."""
    if generation.unplaced_reason != reason:
        generation.unplaced_reason = reason
        _log.event(
            'not_placed',
            request=request.request_id,
            reason=reason,
            at_token=generation.state.accepted,
            attempt=generation.state.attempt,
        )
    return Placement(NoServer(), request)


def _with_new_generation_id(request: GenerationRequest) -> GenerationRequest:
    generation_id = f'gen-{uuid.uuid4().hex}'
    return dataclasses.replace(request, generation_id=generation_id)


def _requested_version(request: GenerationRequest, is_retry: bool) -> str:
    return request.version


def _same_version(model: str, version: str) -> str:
    return version


async def _no_prompt(request: GenerationRequest) -> str:
    return ''


def _not_blocked(request: GenerationRequest) -> float:
    return 0


def _not_held(request: GenerationRequest, losses: int) -> str:
    return ''


def _blocked_code(generation: GenerationTask) -> ResultCode:
    if generation.state.attempt:
        return ResultCode.INCOMPLETE_RETRIES
    return ResultCode.REQUEST_BLOCKED


async def _do_nothing() -> None:
    """Leave the use as it is known."""


def _request_id_conflict() -> BronzesillError:
    return BronzesillError(
        ResultCode.REQUEST_ID_CONFLICT,
        'not run: the request id is in use by a request with another body',
    )
