"""Forwarded event stream of one caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from falcon import asgi

from ..calls import DurationLog, ObservedRequest, RequestSize
from ..config import Route
from ..generations import (
    AcceptedTokens,
    AnswerCompleted,
    AnswerFailed,
    AnswerStarted,
    AttemptTimings,
    GenerationRequest,
    GenerationsController,
    StallPolicy,
    Subscription,
)
from ..upstream import AnswerHead, ForwardRequest
from ..utils import BronzesillError, PartLogger, ResultCode
from .disconnect import watch_disconnect
from .state import stopping_error

__all__ = ['ForwardedStream']

#: Result codes of requests that no server had room for.
_QUEUE_CODES = frozenset((ResultCode.QUEUE_FULL, ResultCode.QUEUE_TIMEOUT))
_LACK_CODES = _QUEUE_CODES | {ResultCode.INCOMPLETE_NO_SERVER}

_log = PartLogger('gateway')


class ForwardedStream:
    """
    Streams the events of a generation to one caller.

    :param generations: controller that runs the generation.
    :param forward: request to forward.
    :param route: route of the request.
    :param route_name: name of the route.
    :param durations: receives the times of the stream.
    """

    def __init__(
        self,
        generations: GenerationsController,
        forward: ForwardRequest,
        route: Route,
        route_name: str,
        durations: DurationLog,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._generations = generations
        self._durations = durations
        self._service = route.service
        self._is_whole = False
        self._has_lacked_server = False
        self._size = RequestSize(
            forward.caller.prompt_tokens, forward.caller.max_output_tokens
        )
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
        self._subscription: Subscription | None = None
        self._disconnect_watcher: asyncio.Task[None] | None = None
        self._answer_start: AnswerStarted | None = None
        self._timings = AttemptTimings(now_s)
        self._deadline_at_s = forward.deadline_at_s
        self._duration_number = self._begin_duration(forward)

    @property
    def head(self) -> AnswerHead:
        """
        Head of the answer.

        :raises BronzesillError: ``CALL_FAILED``, the stream is not open.
        """
        if self._answer_start is None:
            raise BronzesillError(ResultCode.CALL_FAILED, 'stream not open')
        return self._answer_start.head

    async def open(self) -> None:
        """
        Subscribe to the generation and wait for the head of its answer.

        :raises BronzesillError: the generation failed before a head arrived.
        """
        blocked_s = self._generations.blocked_for_s(self._request)
        if blocked_s:
            raise BronzesillError(
                ResultCode.REQUEST_BLOCKED,
                'not run: servers crash on such requests',
                retry_after_s=blocked_s,
            )
        self._subscription = self._generations.subscribe(
            self._request, 0, self._policy
        )
        event = await self._subscription.get()
        if isinstance(event, AnswerFailed):
            self._note_failure(event)
            raise _opening_error(event)
        if not isinstance(event, AnswerStarted):
            raise BronzesillError(
                ResultCode.CALL_FAILED, 'no response head received'
            )
        self._answer_start = event

    def has_sent(self) -> bool:
        """Return whether the request may have reached a server."""
        return self._generations.has_sent(self._request)

    def end_on_disconnect(self, http: asgi.Request) -> None:
        """End the stream when the caller disconnects."""
        self._disconnect_watcher = watch_disconnect(http, self._on_disconnect)

    def close(self) -> None:
        """Unsubscribe and stop watching for a disconnect; idempotent."""
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.cancel()
        if self._subscription is not None:
            self._generations.unsubscribe(self._request, self._subscription)
            self._subscription = None
        if self._duration_number is not None:
            now_s = asyncio.get_running_loop().time()
            self._durations.end(self._service, self._duration_number, now_s)
            self._duration_number = None

    async def events(self) -> AsyncIterator[bytes]:
        """
        Yield the events of the answer as they arrive.

        :raises BronzesillError: the answer is incomplete; the connection is
            then closed without an end-of-body marker, so that the caller can
            detect the truncation.
        """
        try:
            while self._subscription is not None:
                event = await self._subscription.get()
                if isinstance(event, AnswerCompleted):
                    self._log_end('whole', event.lost_attempts)
                    self._is_whole = bool(self._timings.first_at_s)
                    return
                if isinstance(event, AnswerFailed):
                    self._note_failure(event)
                    outcome = event.code.name.lower()
                    self._log_end(outcome, event.lost_attempts)
                    raise BronzesillError(event.code, 'answer incomplete')
                if isinstance(event, AcceptedTokens):
                    self._record_arrival(len(event.tokens))
                    yield ''.join(event.tokens).encode('latin-1')
        finally:
            self.close()

    def _record_arrival(self, token_count: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._timings = self._timings.with_arrival(token_count, now_s)

    def _begin_duration(self, forward: ForwardRequest) -> int | None:
        """Note the stream, unless it is the rest of one, which tells less."""
        if forward.caller.events_received:
            return None
        return self._durations.begin(self._service, self._observe)

    def _observe(self, now_s: float) -> ObservedRequest:
        timings = self._timings
        first_at_s = timings.first_at_s or now_s
        return ObservedRequest(
            self._size,
            now_s,
            first_at_s - timings.opened_at_s,
            now_s - first_at_s,
            timings.longest_gap_s,
            self._is_whole,
            timings.tokens,
            self._has_lacked_server,
        )

    def _note_failure(self, failure: AnswerFailed) -> None:
        self._has_lacked_server = failure.code in _LACK_CODES

    def _log_end(self, outcome: str, lost_attempts: str) -> None:
        now_s = asyncio.get_running_loop().time()
        _log.event(
            'stream_ended',
            request=self._request.request_id,
            outcome=outcome,
            first_event_s=round(self._timings.first_token_s, 3),
            longest_pause_s=round(self._timings.longest_gap_s, 3),
            remaining_s=round(self._deadline_at_s - now_s, 3),
            lost_attempts=lost_attempts,
        )

    def _on_disconnect(self) -> None:
        if self._subscription is not None:
            self._subscription.put_nowait(AnswerFailed(ResultCode.CALLER_LEFT))


def _opening_error(failure: AnswerFailed) -> BronzesillError:
    if failure.code is ResultCode.STOPPING:
        return stopping_error()
    if failure.code not in _QUEUE_CODES:
        return BronzesillError(failure.code, 'no server answered')
    return BronzesillError(
        failure.code,
        'not run: no server has room in time',
        failure.retry_after_s,
    )
