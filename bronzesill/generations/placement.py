"""Choice of the backend servers for the attempts of generations."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from ..routing import (
    Requirements,
    ServerTracker,
    ServerView,
    StreamSize,
    choose_copy_holder,
    choose_held_server,
    choose_server,
)
from ..utils import Address
from .messages import (
    ChooseServer,
    Event,
    LookElsewhere,
    PlacementRefused,
    ServerChosen,
)
from .request import GenerationRequest
from .shared_probes import ProbeSharingClient
from .stall_detection import StreamActivity, is_silence_shared
from .state import GenerationState, Phase

__all__ = [
    'CandidateSearch',
    'PlacedGeneration',
    'Placement',
    'ServerChoice',
]

_PREFIX_CHARS = 1024
#: Shortest time in seconds between two counts of silent streams.
_SURVEY_INTERVAL_S = 0.05
#: Part of the silence before a look from which on a stream counts as silent.
_SILENT_FRACTION = 0.6


@dataclasses.dataclass(frozen=True)
class Placement:
    """
    Result of choosing a backend server for an attempt.

    :param event: event to process in the generation.
    :param request: request with the version and generation id to use for the
        attempt. If another daemon already runs a generation for the same
        request, these and the seed are taken from that generation.
    """

    event: Event
    request: GenerationRequest


class PlacedGeneration(Protocol):
    """What the placement of attempts reads and sets of a generation."""

    request: GenerationRequest
    fingerprint: int
    state: GenerationState
    #: Servers to which the connection ended before the answer began.
    unanswered_losses: int
    #: Why no server was chosen at the last choice, empty if one was.
    unplaced_reason: str

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer has been delivered."""

    def look_again(self) -> None:
        """Choose a server now, if the generation waits for one."""

    def refuse(self, refusal: PlacementRefused) -> None:
        """End the generation, unless it has been sent to a server."""


class ServerChoice:
    """
    Chooses servers by what one daemon knows of them.

    :param failure_domain: failure domain of this daemon.
    :param tracker: load and health of the backend servers.
    :param random: random number generator for choosing servers.
    """

    def __init__(
        self, failure_domain: str, tracker: ServerTracker, random: Random
    ) -> None:
        #: Returns whether the engine use of the other daemons is known now.
        self.is_usage_shared: Callable[[], bool] = _never
        #: Returns whether the engines of a model keep copies of runs.
        self.keeps_copies: Callable[[str], bool] = _no_copies
        self._failure_domain = failure_domain
        self._tracker = tracker
        self._random = random
        self._surveyed_at_s = -math.inf
        self._is_shared = False

    def find_address(self, server: str) -> Address | None:
        """Return the address of a backend server, or None if unknown."""
        backend = self._tracker.servers_by_name.get(server)
        return backend.address if backend else None

    def make_requirements(
        self,
        request: GenerationRequest,
        action: ChooseServer,
        prompt_holder: str = '',
    ) -> Requirements:
        """
        Return what the server of an attempt has to fulfil.

        :param request: request to answer.
        :param action: the choice that is asked for.
        :param prompt_holder: server that holds the prompt, empty for none.
        """
        return Requirements(
            model=request.model,
            version=request.version,
            prefix_key=request.prompt[:_PREFIX_CHARS],
            excluded=action.excluded,
            home_domain=self._failure_domain,
            is_resume=action.is_resume,
            copy_holder=action.copy_holder,
            prompt_holder=action.candidate or prompt_holder,
            is_usage_shared=self.is_usage_shared()
            # All daemons would meet at the server with the lowest cost.
            and not self._tracker.limiter.is_brittle(request.model),
            size=_size_of(request),
            rates=self._tracker.speeds.rates(request.model),
        )

    def choose(
        self, requirements: Requirements, held_identity: str
    ) -> ServerChosen | None:
        """
        Choose a server, and one that keeps a copy of the run.

        :param requirements: what the server has to fulfil.
        :param held_identity: identity of a request that may crash servers,
            empty for others.
        """
        now_s = asyncio.get_running_loop().time()
        views = self._tracker.views(now_s)
        chosen_server = (
            choose_held_server(views, requirements, held_identity)
            if held_identity
            else choose_server(views, requirements, self._random)
        )
        if chosen_server is None:
            return None
        copy_to = self._choose_copy(views, requirements, chosen_server)
        return ServerChosen(chosen_server.name, chosen_server.fill, copy_to)

    def is_silence_shared(
        self, states: Iterable[GenerationState], look_after_s: float
    ) -> bool:
        """
        Return whether streams of several failure domains are silent at once.

        :param states: all generations of this daemon.
        :param look_after_s: silence after which another server is looked for.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._surveyed_at_s >= _SURVEY_INTERVAL_S:
            self._surveyed_at_s = now_s
            self._is_shared = is_silence_shared(
                self._activities(states, now_s), _SILENT_FRACTION * look_after_s
            )
        return self._is_shared

    def _activities(
        self, states: Iterable[GenerationState], now_s: float
    ) -> list[StreamActivity]:
        servers_by_name = self._tracker.servers_by_name
        return [
            StreamActivity(
                servers_by_name[state.server].failure_domain,
                now_s - state.last_activity_at_s,
            )
            for state in states
            if state.phase is Phase.STREAMING
            and state.is_memory_begun
            and state.server in servers_by_name
        ]

    def _choose_copy(
        self,
        views: tuple[ServerView, ...],
        requirements: Requirements,
        chosen_server: ServerView,
    ) -> str:
        if not self.keeps_copies(requirements.model):
            return ''
        holder = choose_copy_holder(
            views, requirements, chosen_server, self._random
        )
        return holder.name if holder else ''


class CandidateSearch:
    """
    Looks for servers that could take over a silent run.

    :param servers: choice of the servers.
    :param client: client that connects to servers.
    """

    def __init__(
        self, servers: ServerChoice, client: ProbeSharingClient
    ) -> None:
        self._servers = servers
        self._client = client

    async def accepts(self, server: str, *, is_silent: bool = False) -> bool:
        """
        Return whether a server accepts a connection.

        :param server: name of the server.
        :param is_silent: whether a stream on it is silent.
        """
        address = self._servers.find_address(server)
        if address is None:
            return False
        return await self._client.is_alive(server, address, is_silent=is_silent)

    async def is_silent_alive(self, action: LookElsewhere) -> bool:
        """
        Return whether a silent server accepts a connection.

        :param action: names the server.
        """
        if action.has_refused:
            return False
        return await self.accepts(action.server, is_silent=True)

    async def find(
        self,
        request: GenerationRequest,
        action: LookElsewhere,
        held_identity: str,
    ) -> str:
        """
        Return a server that accepts connections, empty for none.

        :param request: request to answer.
        :param action: names the silent server and the choice of another.
        :param held_identity: identity of a request that may crash servers,
            empty for others.
        """
        requirements = self._servers.make_requirements(request, action.choice)
        if requirements.copy_holder:
            holder = self._servers.choose(requirements, held_identity)
            if holder is not None and await self.accepts(holder.server):
                return holder.server
        without_copy = dataclasses.replace(requirements, copy_holder='')
        # All others may have lost an attempt of this generation.
        lone = dataclasses.replace(
            without_copy, excluded=frozenset((action.server,))
        )
        chosen = self._servers.choose(
            without_copy, held_identity
        ) or self._servers.choose(lone, held_identity)
        if chosen is None or not await self.accepts(chosen.server):
            return ''
        return chosen.server


def _size_of(request: GenerationRequest) -> StreamSize:
    if request.forward is None:
        return StreamSize(0, request.max_tokens)
    caller = request.forward.caller
    return StreamSize(caller.prompt_tokens, caller.max_output_tokens)


def _never() -> bool:
    return False


def _no_copies(model: str) -> bool:
    return False
