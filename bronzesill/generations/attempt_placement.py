"""Placement of the attempts of generations on backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeAlias

from ..limits import RetryAllowance
from ..routing import ServerTracker, ServiceRates
from ..utils import PartLogger, ResultCode
from .activity_lookup import ActivityLookup
from .locations import LocationDirectory, LocationRecord
from .messages import (
    Attached,
    ChooseServer,
    Event,
    LookedElsewhere,
    LookElsewhere,
    NoServer,
    PlacementRefused,
    ServerChosen,
)
from .placement import (
    CandidateSearch,
    PlacedGeneration,
    Placement,
    ServerChoice,
)
from .request import GenerationRequest
from .state import GenerationState
from .stream_queue import NoStreamQueue, StreamQueue

__all__ = ['AttemptPlacer']

#: Time from a crash until a block that follows from it is known.
_JUDGEMENT_S = 0.3

PickVersion: TypeAlias = Callable[[GenerationRequest, bool], str]

_log = PartLogger('generations')


class AttemptPlacer:
    """
    Places the attempts of all generations of one daemon.

    :param daemon: name of this daemon.
    :param tracker: load and health of the backend servers.
    :param servers: choice of the servers.
    :param search: looks for servers that could take over a silent run.
    :param directory: location records of generations.
    :param list_states: returns the states of all generations of this daemon.
    :param activities: looks up the work of servers.
    """

    def __init__(
        self,
        daemon: str,
        tracker: ServerTracker,
        servers: ServerChoice,
        search: CandidateSearch,
        directory: LocationDirectory,
        list_states: Callable[[], Iterable[GenerationState]],
        activities: ActivityLookup,
    ) -> None:
        #: Returns the version for a request without accepted tokens.
        self.pick_version: PickVersion = _requested_version
        #: Returns the version that resumes an answer, from the model and the
        #: version that began the answer.
        self.resume_version: Callable[[str, str], str] = _same_version
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
        #: Queue of the streams that find no server.
        self.queue: StreamQueue = NoStreamQueue()
        #: Brings the engine use of the other daemons up to date.
        self.refresh_usage: Callable[[], Awaitable[None]] = _do_nothing
        #: Work of the servers whose speed is known.
        self.activities = activities
        self._daemon = daemon
        self._tracker = tracker
        self._servers = servers
        self._search = search
        self._directory = directory
        self._list_states = list_states

    async def place(
        self, generation: PlacedGeneration, action: ChooseServer
    ) -> Placement:
        """
        Choose the server of an attempt.

        :param generation: generation that the attempt belongs to.
        :param action: the choice that is asked for.
        """
        held_identity = await self._hold(generation, action)
        if self.blocked_for_s(generation.request) and not action.is_resume:
            return Placement(
                PlacementRefused(_blocked_code(generation)), generation.request
            )
        request = self._request_with_version(
            generation, action, is_held=bool(held_identity)
        )
        generation.request = request
        if not (held_identity or self.queue.may_look(generation, request)):
            self.queue.join(generation, request)
            return Placement(NoServer(), request)
        self._tracker.limiter.record_demand(request.model)
        await self.refresh_usage()
        is_first = generation.state.attempt == 0
        prompt_holder = await self.find_prompt(request) if is_first else ''
        requirements = self._servers.make_requirements(
            request, action, prompt_holder
        )
        choice = self._servers.choose(requirements, held_identity)
        if choice is None:
            if not held_identity:
                self.queue.join(generation, request)
            return _not_placed(generation, request, 'no_server')
        if not self._may_send(generation):
            self.queue.leave(request)
            return _not_placed(generation, request, 'retry_budget')
        self.queue.found(request)
        generation.unplaced_reason = ''
        self._tracker.limiter.record_choice(choice.server)
        if requirements.rates is not None:
            self._log_choice(request, choice, requirements.rates)
        return await self._claim_location(
            generation, Placement(choice, request), choice.server, action
        )

    async def look(
        self, generation: PlacedGeneration, action: LookElsewhere
    ) -> LookedElsewhere:
        """
        Find out whether a server could take over a silent run.

        :param generation: generation whose run is silent.
        :param action: names the silent server and the choice of another.
        """
        alive, candidate, _ = await asyncio.gather(
            self._search.is_silent_alive(action),
            self._find_candidate(generation, action),
            self._refresh_activity(action.server),
        )
        # Another server that accepts where this one refuses clears the path.
        is_path_suspected = alive or not candidate
        return LookedElsewhere(
            action.attempt,
            candidate,
            is_alive=alive,
            is_shared=is_path_suspected and self._is_silence_shared(generation),
        )

    def return_send(self, generation: PlacedGeneration) -> None:
        """Take back the retry counted for an attempt that was not sent."""
        if self.allowance is not None and generation.state.sends:
            self.allowance.return_retry(generation.request.model)

    async def _refresh_activity(self, server: str) -> None:
        """Learn of the prompts that other hosts have sent to a server."""
        if self.activities.is_known_for(server):
            await self.refresh_usage()

    async def _find_candidate(
        self, generation: PlacedGeneration, action: LookElsewhere
    ) -> str:
        request = generation.request
        allowance = self.allowance
        if allowance is not None and not allowance.allows_retry(
            request.model, has_begun=generation.has_begun
        ):
            return ''
        identity = self._find_held_identity(generation, action.choice)
        return await self._search.find(request, action, identity)

    async def _claim_location(
        self,
        generation: PlacedGeneration,
        chosen: Placement,
        server: str,
        action: ChooseServer,
    ) -> Placement:
        request = chosen.request
        if not request.can_reconnect:
            return chosen
        proposed = self._location_record(generation, server)
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
        generation: PlacedGeneration,
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
        self, generation: PlacedGeneration, action: ChooseServer
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
        self, generation: PlacedGeneration, action: ChooseServer
    ) -> str:
        if action.is_resume:
            return ''
        return self.find_held_identity(
            generation.request, generation.unanswered_losses
        )

    def _location_record(
        self, generation: PlacedGeneration, server: str
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

    def _log_choice(
        self,
        request: GenerationRequest,
        choice: ServerChosen,
        rates: ServiceRates,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        known = self._tracker.speeds.known(choice.server, now_s)
        _log.event(
            'server_chosen',
            request=request.request_id,
            server=choice.server,
            copy_to=choice.copy_to,
            fill=round(choice.fill, 2),
            speed=round(known.speed, 2),
            slowdown=round(known.slowdown, 2),
            samples=known.samples,
            age_s=None if known.age_s is None else round(known.age_s, 1),
            prefill_tokens_per_s=round(rates.prefill_tokens_per_s),
            event_s=round(rates.event_s, 4),
        )

    def _may_send(self, generation: PlacedGeneration) -> bool:
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

    def _is_silence_shared(self, generation: PlacedGeneration) -> bool:
        look_after_s = generation.state.policy.look_after_s
        if look_after_s is None:
            return False
        return self._servers.is_silence_shared(
            self._list_states(), look_after_s
        )


def _not_placed(
    generation: PlacedGeneration, request: GenerationRequest, reason: str
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


def _blocked_code(generation: PlacedGeneration) -> ResultCode:
    if generation.state.attempt:
        return ResultCode.INCOMPLETE_RETRIES
    return ResultCode.REQUEST_BLOCKED


async def _do_nothing() -> None:
    """Leave the use as it is known."""
