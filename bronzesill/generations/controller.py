"""Controller of all generations of one daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..limits import RetryAllowance
from ..routing import (
    Requirements,
    ServerBook,
    ServerView,
    choose_copy_holder,
    choose_server,
)
from ..utils import Address, BronzesillError, Metrics, PartLogger, ResultCode
from .book_observer import BookObserver
from .engine_client import StreamClient
from .locations import LocationDirectory, LocationRecord
from .messages import (
    Attached,
    ChooseServer,
    Event,
    NoServer,
    PlacementRefused,
    ServerChosen,
)
from .pace import StallPolicy
from .request import GenerationRequest
from .state import GenerationState
from .subscription import Subscribe, Subscription, Unsubscribe
from .task import GenerationTask, Placement

__all__ = ['GenerationsController', 'Site']

_PREFIX_CHARS = 1024

PickVersion: TypeAlias = Callable[[GenerationRequest, bool], str]

_log = PartLogger('generations')


@dataclasses.dataclass(frozen=True)
class Site:
    """
    What the configuration says of generations.

    :param policy: how long a stream may be silent.
    :param reconnect_window_s: seconds a generation outlives its reader.
    """

    policy: StallPolicy
    reconnect_window_s: float


class GenerationsController:
    """
    Owner of the generations of one daemon.

    :param daemon: name of this daemon.
    :param failure_domain: failure domain of this daemon.
    :param book: what is known of the backend servers.
    :param client: client for engines.
    :param directory: where named generations run.
    :param metrics: receiver of counts.
    :param random: generator for choices of servers.
    """

    def __init__(
        self,
        daemon: str,
        failure_domain: str,
        book: ServerBook,
        client: StreamClient,
        directory: LocationDirectory,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.site = Site(StallPolicy(), 8)
        #: Told of streams; it tells the daemon how attempts do.
        self.observer = BookObserver(daemon, book, directory, metrics)
        #: Gives the version that answers a request not yet begun.
        self.pick_version: PickVersion = _keep_version
        #: Gives the version that goes on with an answer of a model's version.
        self.resume_version: Callable[[str, str], str] = _keep_same
        #: Bounds the attempts after the first one, none for no bound.
        self.allowance: RetryAllowance | None = None
        #: Whether the daemons tell each other at once which engines they use.
        self.is_use_told = False
        #: Says whether the engines of a model keep copies of runs.
        self.keeps_copies: Callable[[str], bool] = _keeps_none
        self.tasks_by_key: dict[str, GenerationTask] = {}
        self._daemon = daemon
        self._failure_domain = failure_domain
        self._book = book
        self._client = client
        self._directory = directory
        self._random = random
        self._running: set[asyncio.Task[None]] = set()

    def subscribe(
        self,
        request: GenerationRequest,
        fingerprint: int,
        policy: StallPolicy | None = None,
    ) -> Subscription:
        """
        Begin a generation, or join the one that answers the request.

        :param request: what the caller asked for.
        :param fingerprint: hash of the request's body.
        :param policy: how long its streams may be silent, none for the
            site's policy.
        :raises BronzesillError: the request id is taken by another body.
        """
        key = request.key
        generation = self.tasks_by_key.get(key)
        if generation is None:
            policy = policy or self.site.policy
            generation = self._begin(request, key, fingerprint, policy)
        elif generation.fingerprint != fingerprint:
            raise _conflict()
        queue: Subscription = asyncio.Queue()
        generation.mailbox.put_nowait(Subscribe(queue))
        return queue

    def unsubscribe(
        self, request: GenerationRequest, queue: Subscription
    ) -> None:
        """Take a reader away from its generation."""
        generation = self.tasks_by_key.get(request.key)
        if generation is not None:
            generation.mailbox.put_nowait(Unsubscribe(queue))

    def find_address(self, server: str) -> Address | None:
        """Return the address of a backend server, none if it is gone."""
        known = self._book.servers_by_name.get(server)
        return known.address if known else None

    @property
    def running(self) -> int:
        """Generations that have not ended."""
        return sum(
            not generation.state.has_ended
            for generation in self.tasks_by_key.values()
        )

    async def stop(self) -> None:
        """Cancel what still runs."""
        for runner in tuple(self._running):
            runner.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def _begin(
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
        linger_s = self.site.reconnect_window_s if request.can_reconnect else 0
        generation = GenerationTask(
            request=request,
            fingerprint=fingerprint,
            state=state,
            client=self._client,
            choose=self._place,
            find_address=self.find_address,
            observer=self.observer,
            linger_s=linger_s,
        )
        self.tasks_by_key[key] = generation
        runner = asyncio.create_task(self._run(generation, key))
        self._running.add(runner)
        runner.add_done_callback(self._running.discard)
        return generation

    async def _run(self, generation: GenerationTask, key: str) -> None:
        try:
            await generation.run()
        finally:
            self.tasks_by_key.pop(key, None)

    async def _place(
        self, generation: GenerationTask, action: ChooseServer
    ) -> Placement:
        request = generation.request
        if not action.is_resume:
            # Nothing is written yet: a version taken back gets none of it,
            # and one under trial that lost the request does not get it again.
            is_retry = generation.state.attempt > 0
            version = self.pick_version(request, is_retry)
            request = dataclasses.replace(request, version=version)
            generation.request = request
        elif request.version:
            version = self.resume_version(request.model, request.version)
            request = dataclasses.replace(request, version=version)
            generation.request = request
        choice = self._choose(request, action)
        if choice is None or not self._may_send(generation):
            return Placement(NoServer(), request)
        chosen = Placement(choice, request)
        if not request.can_reconnect:
            return chosen
        offered = self._record(generation, choice.server)
        holds = await self._directory.claim(offered)
        if holds == offered:
            return chosen
        if action.is_resume:
            # Another daemon goes on with this answer from its own tokens,
            # which may differ from ours from here on: never join it.
            return Placement(chosen.event, _fork(request))
        return await self._join(request, offered, holds)

    def _may_send(self, generation: GenerationTask) -> bool:
        if self.allowance is None:
            return True
        model = generation.request.model
        if generation.state.attempt:
            return self.allowance.take(model)
        self.allowance.note_first(model)
        return True

    def _record(
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
        offered: LocationRecord,
        holds: LocationRecord,
    ) -> Placement:
        if holds.fingerprint != offered.fingerprint:
            refusal = PlacementRefused(ResultCode.REQUEST_ID_CONFLICT)
            return Placement(refusal, request)
        _log.info(
            '%s runs as %s on %s',
            request.request_id,
            holds.generation_id,
            holds.server,
        )
        await self._directory.take_over(
            dataclasses.replace(holds, owner=self._daemon)
        )
        adopted = dataclasses.replace(
            request,
            generation_id=holds.generation_id,
            version=holds.version,
            seed=holds.seed,
        )
        event: Event = Attached(holds.server, holds.attempt)
        return Placement(event, adopted)

    def _choose(
        self, request: GenerationRequest, action: ChooseServer
    ) -> ServerChosen | None:
        needs = Requirements(
            model=request.model,
            version=request.version,
            prefix_key=request.prompt[:_PREFIX_CHARS],
            excluded=action.excluded,
            home_domain=self._failure_domain,
            is_resume=action.is_resume,
            copy_at=action.copy_at,
            is_use_told=self.is_use_told,
        )
        now_s = asyncio.get_running_loop().time()
        views = self._book.views(now_s)
        runner = choose_server(views, needs, self._random)
        if runner is None:
            return None
        copy_to = self._choose_copy(views, needs, runner)
        return ServerChosen(runner.name, runner.fill, copy_to)

    def _choose_copy(
        self,
        views: tuple[ServerView, ...],
        needs: Requirements,
        runner: ServerView,
    ) -> str:
        if not self.keeps_copies(needs.model):
            return ''
        holder = choose_copy_holder(views, needs, runner, self._random)
        return holder.name if holder else ''


def _fork(request: GenerationRequest) -> GenerationRequest:
    generation_id = f'gen-{uuid.uuid4().hex}'
    return dataclasses.replace(request, generation_id=generation_id)


def _keep_version(request: GenerationRequest, is_retry: bool) -> str:
    return request.version


def _keep_same(model: str, version: str) -> str:
    return version


def _keeps_none(model: str) -> bool:
    return False


def _conflict() -> BronzesillError:
    return BronzesillError(
        ResultCode.REQUEST_ID_CONFLICT,
        'not run: this request id belongs to a request with another body',
    )
