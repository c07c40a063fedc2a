"""Streams that wait in the queue of this host until a server has room."""

from __future__ import annotations

import asyncio
import types
from typing import Protocol

from ..limits import QueueRefusal, RefusalCause, Waiter
from ..limits.waiting import WaitingRequest, WaitingRequests
from ..utils import ResultCode
from .messages import PlacementRefused
from .request import GenerationRequest
from .state import GenerationState

__all__ = ['NoStreamQueue', 'QueuedGeneration', 'StreamQueue', 'WaitingStreams']

_CODE_BY_CAUSE = types.MappingProxyType(
    {
        RefusalCause.TOO_LONG: ResultCode.QUEUE_FULL,
        RefusalCause.FULL: ResultCode.QUEUE_FULL,
        RefusalCause.LATE: ResultCode.QUEUE_TIMEOUT,
        RefusalCause.STOPPING: ResultCode.STOPPING,
    }
)


class QueuedGeneration(Protocol):
    """Interface of a generation towards the queue."""

    state: GenerationState

    def look_again(self) -> None:
        """Choose a server now, if the generation waits for one."""

    def refuse(self, refusal: PlacementRefused) -> None:
        """End the generation, unless it has been sent to a server."""


class StreamQueue(Protocol):
    """Interface of the queue of streams that find no server."""

    def may_look(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> bool:
        """Return whether a server may be chosen for a generation now."""

    def join(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> None:
        """Let a generation wait that found no server, or may not look."""

    def found(self, request: GenerationRequest) -> None:
        """Note that a server has been chosen for a request."""

    def leave(self, request: GenerationRequest) -> None:
        """Note that a request no longer waits for a server."""


class NoStreamQueue:
    """Lets each stream ask again by its own timer."""

    def may_look(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> bool:
        """Return true."""
        return True

    def join(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> None:
        """Do nothing."""

    def found(self, request: GenerationRequest) -> None:
        """Do nothing."""

    def leave(self, request: GenerationRequest) -> None:
        """Do nothing."""


class WaitingStreams:
    """
    Queue of the streams of this host.

    An answer that has begun may look for a server at any time, and is the
    first in the queue.

    :param waiting: requests that wait at this host.
    """

    def __init__(self, waiting: WaitingRequests) -> None:
        self._waiting = waiting
        self._queue_by_key: dict[str, str] = {}

    def may_look(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> bool:
        """Return whether a server may be chosen for a generation now."""
        if _has_begun(generation, request):
            return True
        return self._waiting.may_look(_queue_name(request), request.key)

    def join(
        self, generation: QueuedGeneration, request: GenerationRequest
    ) -> None:
        """Let a generation wait that found no server, or may not look."""
        name = _queue_name(request)
        if self._queue_by_key.get(request.key, name) != name:
            self.leave(request)
        self._queue_by_key[request.key] = name
        needed_s = self._waiting.run_times.median_s(
            request.model, request.size_class
        )
        self._waiting.join(
            name,
            WaitingRequest(
                _make_waiter(generation, request, needed_s),
                request.request_id,
                generation.look_again,
                lambda refusal: self._refuse(generation, request, refusal),
            ),
        )

    def found(self, request: GenerationRequest) -> None:
        """Note that a server has been chosen for a request."""
        name = self._queue_by_key.pop(request.key, None)
        if name is not None:
            self._waiting.found(name, request.key)

    def leave(self, request: GenerationRequest) -> None:
        """Note that a request no longer waits for a server."""
        name = self._queue_by_key.pop(request.key, None)
        if name is not None:
            self._waiting.leave(name, request.key)

    def _refuse(
        self,
        generation: QueuedGeneration,
        request: GenerationRequest,
        refusal: QueueRefusal,
    ) -> None:
        self._queue_by_key.pop(request.key, None)
        code = _CODE_BY_CAUSE[refusal.cause]
        generation.refuse(PlacementRefused(code, refusal.retry_after_s))


def _queue_name(request: GenerationRequest) -> str:
    """Return one name for the requests that the same servers can take."""
    return ' '.join(filter(None, (request.model, request.version)))


def _has_begun(
    generation: QueuedGeneration, request: GenerationRequest
) -> bool:
    forward = request.forward
    is_resumed = forward is not None and forward.caller.events_received > 0
    return generation.state.accepted > 0 or is_resumed


def _make_waiter(
    generation: QueuedGeneration, request: GenerationRequest, needed_s: float
) -> Waiter:
    state = generation.state
    now_s = asyncio.get_running_loop().time()
    forward = request.forward
    body = forward.body if forward else b''
    return Waiter(
        request.key,
        request.account,
        now_s,
        state.deadline_at_s,
        needed_s,
        forward.priority_rank if forward else 0,
        request.size_class,
        len(body),
        is_retry=state.attempt > 0,
        has_begun=_has_begun(generation, request),
        may_have_run=state.sends > 0,
        fingerprint=hash((request.account, body)) if body else 0,
    )
