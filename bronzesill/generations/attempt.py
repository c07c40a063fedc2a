"""Attempts of one generation: opens, reads, times and cancels streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..routing import EventPace
from ..upstream import AnswerUnread, ConnectionLost, PathCut, RequestNotSent
from ..utils import Address, log_unexpected
from .messages import (
    AttemptLost,
    CancelAttempt,
    EndArrived,
    LossCause,
    LostServerAlive,
    OpenAttempt,
    ProbeServer,
    ServerProbed,
    TokensArrived,
)
from .observer import AttemptObservation, AttemptUsage, GenerationObserver
from .request import GenerationRequest
from .shared_probes import ProbeSharingClient
from .stall_detection import AttemptTimings
from .stream_client import AttemptRefused, StreamOpening
from .subscription import TaskMessage

__all__ = ['AttemptRunner']


class _ArrivalTracker:
    """
    Reports the first token of an attempt, and the pace of those that follow.

    :param server: backend server that runs the attempt.
    :param observer: receives the notification.
    """

    def __init__(self, server: str, observer: GenerationObserver) -> None:
        self.has_begun = False
        self._server = server
        self._observer = observer
        self._pace = EventPace()

    def tokens_received(self) -> None:
        """Record that tokens were received."""
        if not self.has_begun:
            self.has_begun = True
            self._observer.first_token_received(self._server)
        gap_s = self._pace.arrived(asyncio.get_running_loop().time())
        if gap_s is not None:
            self._observer.pace_measured(self._server, gap_s)


class AttemptRunner:
    """
    Owner of the upstream streams of one generation.

    :param client: client for engine streams.
    :param find_address: returns the address of a backend server by name, or
        None if the server is unknown.
    :param observer: receives notifications about streams and their timings.
    :param mailbox: queue that receives the events of the attempts.
    """

    def __init__(
        self,
        client: ProbeSharingClient,
        find_address: Callable[[str], Address | None],
        observer: GenerationObserver,
        mailbox: asyncio.Queue[TaskMessage],
    ) -> None:
        self._client = client
        self._find_address = find_address
        self._observer = observer
        self._mailbox = mailbox
        self._tasks: set[asyncio.Task[None]] = set()
        self._stream: asyncio.Task[None] | None = None
        self._server = ''
        self._timings = AttemptTimings(0)
        self._has_prefilled = False
        self._is_first_part = False

    def open(
        self,
        request: GenerationRequest,
        action: OpenAttempt,
        accepted: tuple[str, ...],
    ) -> None:
        """
        Start reading a stream into the mailbox.

        If the address of the server is unknown, ``AttemptLost`` is put into
        the mailbox instead.

        :param request: request to answer.
        :param action: attempt to open.
        :param accepted: tokens accepted from earlier attempts.
        """
        self._server = action.server
        self._timings = AttemptTimings(asyncio.get_running_loop().time())
        self._has_prefilled = not (action.is_attach or action.uses_copy)
        self._is_first_part = self._has_prefilled and not action.offset
        address = self._find_address(action.server)
        if address is None:
            lost = AttemptLost(action.attempt, LossCause.UNSENT)
            self._mailbox.put_nowait(lost)
            return
        opening = StreamOpening(
            request,
            action.attempt,
            address,
            accepted,
            action.is_attach,
            server=action.server,
            copy_to=self._find_address(action.copy_to),
            uses_copy=action.uses_copy,
        )
        usage = AttemptUsage(
            action.server, action.copy_to, request.memory_tokens
        )
        self._stream = self.start_task(self._read(opening, usage))

    def record_arrival(
        self, request: GenerationRequest, token_count: int
    ) -> None:
        """Update the attempt's timings; report the time to its first token."""
        now_s = asyncio.get_running_loop().time()
        is_first = not self._timings.first_at_s
        self._timings = self._timings.with_arrival(token_count, now_s)
        if is_first:
            first_token_s = self._timings.first_token_s
            self._observer.attempt_observed(
                AttemptObservation(
                    request,
                    self._server,
                    first_token_s=first_token_s,
                    has_prefilled=self._has_prefilled,
                )
            )

    def record_end(
        self,
        request: GenerationRequest,
        *,
        is_failed: bool,
        has_disconnected: bool = False,
    ) -> None:
        """Report the end of the attempt and its mean token gap."""
        now_s = asyncio.get_running_loop().time()
        is_whole = self._is_first_part and not is_failed
        self._observer.attempt_observed(
            AttemptObservation(
                request,
                self._server,
                is_end=True,
                is_failed=is_failed,
                lasted_s=now_s - self._timings.opened_at_s,
                is_lost_unanswered=(
                    has_disconnected and not self._timings.first_at_s
                ),
                token_gap_s=self._timings.token_gap_s,
                answer_events=self._timings.tokens + 1 if is_whole else 0,
            )
        )

    def cancel(self, request: GenerationRequest, action: CancelAttempt) -> None:
        """
        Stop reading a lost stream and cancel it at the engine.

        An attempt that was refused or not sent has no stream at the engine.
        """
        if action.blames_server:
            self._observer.attempt_lost(
                action.server,
                action.cause,
                is_accepting=action.is_server_accepting,
            )
        if action.is_failure:
            self.record_end(
                request,
                is_failed=True,
                has_disconnected=action.cause is LossCause.DISCONNECTED,
            )
        if self._stream is not None:
            self._stream.cancel()
        if action.cause not in {LossCause.REFUSED, LossCause.UNSENT}:
            self.start_task(
                self.cancel_stream(request, action.server, action.attempt)
            )

    def check_lost_server(self, action: CancelAttempt) -> None:
        """Find out whether a server that was disconnected goes on."""
        self.start_task(self._check_lost_server(action))

    def probe(self, action: ProbeServer) -> None:
        """Start a probe; its result is put into the mailbox."""
        self.start_task(self._probe(action))

    async def cancel_stream(
        self, request: GenerationRequest, server: str, attempt: int
    ) -> None:
        """Cancel a stream at its engine, if the engine's address is known."""
        address = self._find_address(server)
        if address is not None:
            await self._client.cancel(
                StreamOpening(request, attempt, address, ())
            )

    def start_task(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine in a task that :meth:`close` cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _check_lost_server(self, action: CancelAttempt) -> None:
        address = self._find_address(action.server)
        if address is None:
            return
        if await self._client.is_left_alive(action.server, address):
            self._mailbox.put_nowait(LostServerAlive(action.attempt))

    async def _probe(self, action: ProbeServer) -> None:
        address = self._find_address(action.server)
        is_alive = address is not None and await self._client.is_alive(
            action.server, address
        )
        self._mailbox.put_nowait(ServerProbed(action.attempt, is_alive))

    async def _read(self, opening: StreamOpening, usage: AttemptUsage) -> None:
        self._observer.stream_opened(usage)
        tracker = _ArrivalTracker(usage.server, self._observer)
        try:
            lost = await self._read_to_end(opening, tracker)
        except Exception as error:
            log_unexpected(opening.request.request_id, 'an attempt', error)
            lost = AttemptLost(opening.attempt, LossCause.BROKEN, repr(error))
        finally:
            self._observer.stream_closed(usage, has_begun=tracker.has_begun)
        if lost is not None:
            self._mailbox.put_nowait(lost)

    async def _read_to_end(
        self, opening: StreamOpening, tracker: _ArrivalTracker
    ) -> AttemptLost | None:
        try:
            async for message in self._client.read(opening):
                if isinstance(message, TokensArrived):
                    tracker.tokens_received()
                self._mailbox.put_nowait(message)
                if isinstance(message, EndArrived):
                    return None
        except AttemptRefused as error:
            is_unsent = isinstance(error.__cause__, RequestNotSent)
            cause = LossCause.UNSENT if is_unsent else LossCause.REFUSED
            return AttemptLost(opening.attempt, cause, str(error))
        except (OSError, ValueError) as error:
            cause = _loss_cause(error)
            return AttemptLost(opening.attempt, cause, str(error))
        return AttemptLost(
            opening.attempt,
            LossCause.BROKEN,
            'stream closed without an end marker',
        )


def _loss_cause(error: Exception) -> LossCause:
    if isinstance(error, PathCut):
        return LossCause.PATH
    if isinstance(error, AnswerUnread):
        return LossCause.UNREAD
    if isinstance(error, ConnectionLost):
        return LossCause.DISCONNECTED
    return LossCause.BROKEN
