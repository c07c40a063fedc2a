"""One caller's answer as a stream of events that are passed on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from falcon import asgi

from ..config import Route
from ..generations import (
    Ended,
    Failed,
    GenerationRequest,
    GenerationsController,
    Opened,
    Piece,
    StallPolicy,
    Stopwatch,
    Subscription,
)
from ..upstream import AnswerHead, ForwardRequest
from ..utils import BronzesillError, PartLogger, ResultCode
from .disconnect import watch_disconnect

__all__ = ['ForwardedStream']

_log = PartLogger('gateway')


class ForwardedStream:
    """
    One caller's answer as a stream of events.

    :param generations: answers it.
    :param forward: the request.
    :param route: route that it takes.
    :param route_name: name of the route.
    """

    def __init__(
        self,
        generations: GenerationsController,
        forward: ForwardRequest,
        route: Route,
        route_name: str,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._generations = generations
        self._request = GenerationRequest(
            request_id=forward.request_id,
            generation_id=forward.request_id,
            account=forward.account,
            model=route.service,
            version='',
            prompt='',
            seed=0,
            max_tokens=forward.caller.max_output_tokens,
            deadline_s=forward.deadline_at_s - now_s,
            route=route_name,
            forward=forward,
        )
        self._policy = StallPolicy.from_route(
            route.max_pause_s,
            route.target_latency_s,
            forward.caller.prompt_tokens,
            route.max_attempts,
        )
        self._queue: Subscription | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._first: Opened | None = None
        self._watch = Stopwatch(now_s)

    @property
    def head(self) -> AnswerHead:
        """Head of the answer; it has to be open."""
        if self._first is None:
            raise BronzesillError(ResultCode.CALL_FAILED, 'not open')
        return self._first.head

    async def open(self) -> None:
        """
        Wait until the answer begins.

        :raises BronzesillError: it does not.
        """
        self._queue = self._generations.subscribe(
            self._request, 0, self._policy
        )
        arrived = await self._queue.get()
        if isinstance(arrived, Failed):
            raise BronzesillError(arrived.code, 'no server answered')
        if not isinstance(arrived, Opened):
            raise BronzesillError(ResultCode.CALL_FAILED, 'no head came')
        self._first = arrived

    def watch(self, http: asgi.Request) -> None:
        """End the answer when the caller leaves."""
        self._watcher = watch_disconnect(http, self._leave)

    def close(self) -> None:
        """Give back the subscription."""
        if self._watcher is not None:
            self._watcher.cancel()
        if self._queue is not None:
            self._generations.unsubscribe(self._request, self._queue)
            self._queue = None

    async def events(self) -> AsyncIterator[bytes]:
        """
        Yield the events of the answer.

        :raises BronzesillError: it stays incomplete; the connection ends
            without the mark of an end.
        """
        try:
            while self._queue is not None:
                arrived = await self._queue.get()
                if isinstance(arrived, Ended):
                    self._log_end('whole')
                    return
                if isinstance(arrived, Failed):
                    self._log_end(arrived.code.name.lower())
                    raise BronzesillError(arrived.code, 'answer incomplete')
                if isinstance(arrived, Piece):
                    self._note_arrival(len(arrived.tokens))
                    yield ''.join(arrived.tokens).encode('latin-1')
        finally:
            self.close()

    def _note_arrival(self, token_count: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._watch = self._watch.after(token_count, now_s)

    def _log_end(self, outcome: str) -> None:
        _log.event(
            'stream_ended',
            request=self._request.request_id,
            outcome=outcome,
            first_event_s=round(self._watch.first_token_s, 3),
            longest_pause_s=round(self._watch.longest_gap_s, 3),
        )

    def _leave(self) -> None:
        if self._queue is not None:
            self._queue.put_nowait(Failed(ResultCode.CALLER_LEFT))
