"""Finds the engine that holds the prompt of a stream that a caller resumes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from ..generations import GenerationRequest
from ..routing import ServerTracker, choose_prompt_holder
from ..utils import Address, PartLogger

__all__ = ['FetchHeldParts', 'PromptFinder']

_TIMEOUT_S = 0.25
#: A question goes to each engine of a model; with more engines it would cost
#: them more than a prompt.
_MAX_ENGINES = 32

_log = PartLogger('generations')

FetchHeldParts: TypeAlias = Callable[
    [Address, float], Awaitable[Mapping[str, int]]
]


class PromptFinder:
    """
    Asks the engines of a model which of them holds a prompt.

    The run of a stream ends with the host that forwarded it, but its engine
    keeps the prompt for a while.  Callers that resume at another host, or at
    one that has started again, need not wait until it is read again.

    :param tracker: state of the backend servers.
    :param fetch_held_parts: returns the parts of prompts that an engine holds.
    """

    def __init__(
        self, tracker: ServerTracker, fetch_held_parts: FetchHeldParts
    ) -> None:
        self._tracker = tracker
        self._fetch_held_parts = fetch_held_parts

    async def find(self, request: GenerationRequest) -> str:
        """
        Return the engine that holds the prompt of a resumed stream.

        :param request: request that no engine answers yet.
        :returns: name of the engine; empty if it is not resumed, or no engine
            is known to hold its prompt.
        """
        forward = request.forward
        if forward is None or not forward.caller.events_received:
            return ''
        engines = self._engines(request.model)
        if not forward.caller.own_prompt_part or len(engines) > _MAX_ENGINES:
            return ''
        held = await asyncio.gather(
            *(
                self._fetch_held_parts(address, _TIMEOUT_S)
                for address in engines.values()
            )
        )
        holder = choose_prompt_holder(
            forward.caller.own_prompt_part,
            dict(zip(engines, held, strict=True)),
        )
        _log.event('prompt_sought', request=request.request_id, server=holder)
        return holder

    def _engines(self, model: str) -> dict[str, Address]:
        return {
            name: server.address
            for name, server in self._tracker.servers_by_name.items()
            if server.model == model and self._may_ask(name)
        }

    def _may_ask(self, name: str) -> bool:
        now_s = asyncio.get_running_loop().time()
        is_leaving = name in self._tracker.leaving
        return not is_leaving and not self._tracker.wait_s(name, now_s)
