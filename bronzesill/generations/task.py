"""Task of one generation: owns its stream, journal and readers."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from ..utils import Address, PartLogger
from .attempt import AttemptRunner
from .decisions import decide
from .engine_client import StreamClient
from .messages import (
    Action,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    CountDropped,
    DeliverTokens,
    Event,
    FailAnswer,
    OpenAttempt,
    ProbeServer,
    SetTimer,
    TimerFired,
)
from .observer import GenerationObserver
from .request import GenerationRequest
from .state import GenerationState
from .subscription import (
    Ended,
    Failed,
    HeadArrived,
    Mail,
    Opened,
    Piece,
    Subscribe,
    Subscription,
    Unsubscribe,
)

__all__ = ['Chooser', 'GenerationTask', 'Placement']

_log = PartLogger('generations')


@dataclasses.dataclass(frozen=True)
class Placement:
    """
    Answer to the search for a backend server.

    :param event: what the generation is told.
    :param request: the request, with the generation that already answers it
        if another daemon began one.
    """

    event: Event
    request: GenerationRequest


Chooser = Callable[
    ['GenerationTask', ChooseServer], Coroutine[Any, Any, Placement]
]


class GenerationTask:
    """
    One generation from admission to its end.

    :param request: what the caller asked for.
    :param fingerprint: hash of the request's body.
    :param state: state to begin with.
    :param client: client for engines.
    :param choose: finds the backend server of the next attempt.
    :param find_address: address of a backend server by name.
    :param observer: told of streams opened, closed and lost.
    :param linger_s: seconds it runs on without a reader.
    """

    def __init__(
        self,
        request: GenerationRequest,
        fingerprint: int,
        state: GenerationState,
        client: StreamClient,
        choose: Chooser,
        find_address: Callable[[str], Address | None],
        observer: GenerationObserver,
        linger_s: float,
    ) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.state = state
        self.journal: list[str] = []
        self.mailbox: asyncio.Queue[Mail] = asyncio.Queue()
        self._choose = choose
        self._observer = observer
        self._linger_s = linger_s
        self._readers: set[Subscription] = set()
        self._unread_since_s = asyncio.get_running_loop().time()
        self._end: Ended | Failed | None = None
        self._opened: Opened | None = None
        self._attempts = AttemptRunner(
            client, find_address, observer, self.mailbox
        )

    async def run(self) -> None:
        """Work until the answer ended and nobody may come back for it."""
        self._apply(Begin())
        try:
            while True:
                self._take(await self._next_mail())
        except TimeoutError:
            _log.event('no_reader_left', request=self.request.request_id)
            await self._cancel_unread()
        finally:
            await self._attempts.close()

    async def _next_mail(self) -> Mail:
        if self._readers:
            return await self.mailbox.get()
        async with asyncio.timeout_at(self._unread_since_s + self._linger_s):
            return await self.mailbox.get()

    def _take(self, mail: Mail) -> None:
        match mail:
            case Subscribe():
                self._add_reader(mail.queue)
            case Unsubscribe():
                self._readers.discard(mail.queue)
                self._unread_since_s = asyncio.get_running_loop().time()
            case HeadArrived():
                self._note_head(mail)
            case _:
                self._apply(mail)

    def _note_head(self, mail: HeadArrived) -> None:
        if mail.attempt == self.state.attempt and not self.journal:
            self._opened = Opened(mail.head)

    def _add_reader(self, queue: Subscription) -> None:
        self._readers.add(queue)
        if self.journal:
            self._tell_opening(queue)
            queue.put_nowait(Piece(0, tuple(self.journal)))
        if self._end is not None:
            queue.put_nowait(self._end)

    def _apply(self, event: Event) -> None:
        now_s = asyncio.get_running_loop().time()
        decision = decide(self.state, event, now_s)
        self.state = decision.state
        for action in decision.actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case DeliverTokens():
                self._deliver(action)
            case CompleteAnswer():
                self._attempts.note_end(self.request, is_failed=False)
                self._finish(Ended(action.total, action.reason))
            case FailAnswer():
                self._finish(Failed(action.code))
            case CountDropped():
                self._observer.dropped(action.late, action.repeated)
            case _:
                self._perform_attempt(action)

    def _perform_attempt(self, action: Action) -> None:
        match action:
            case ChooseServer():
                self._attempts.help(self._find_server(action))
            case OpenAttempt():
                self._open(action)
            case ProbeServer():
                self._attempts.probe(action)
            case CancelAttempt():
                self._lose(action)
            case SetTimer():
                self._set_timer(action.at_s)

    def _open(self, action: OpenAttempt) -> None:
        _log.event(
            'attempt_sent',
            request=self.request.request_id,
            attempt=action.attempt,
            server=action.server,
            fill=round(self.state.fill, 2),
            from_token=action.offset,
            uses_copy=action.uses_copy,
            copy_to=action.copy_to,
        )
        self._attempts.open(self.request, action, tuple(self.journal))

    def _deliver(self, action: DeliverTokens) -> None:
        self._attempts.note_arrival(self.request, len(action.tokens))
        self._observer.accepted(len(action.tokens), is_first=not self.journal)
        self.journal.extend(action.tokens)
        piece = Piece(action.offset, action.tokens)
        for queue in self._readers:
            if not action.offset:
                self._tell_opening(queue)
            queue.put_nowait(piece)

    def _tell_opening(self, queue: Subscription) -> None:
        if self._opened is not None:
            queue.put_nowait(self._opened)

    def _finish(self, end: Ended | Failed) -> None:
        self._end = end
        for queue in self._readers:
            if isinstance(end, Ended) and not end.total:
                self._tell_opening(queue)
            queue.put_nowait(end)

    async def _find_server(self, action: ChooseServer) -> None:
        placement = await self._choose(self, action)
        self.request = placement.request
        self.mailbox.put_nowait(placement.event)

    def _lose(self, action: CancelAttempt) -> None:
        _log.event(
            'attempt_lost',
            request=self.request.request_id,
            attempt=action.attempt,
            server=action.server,
            at_token=self.state.accepted,
            cause=action.cause.value,
            detail=action.detail,
        )
        self._attempts.cancel(self.request, action)

    def _set_timer(self, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(at_s, self.mailbox.put_nowait, TimerFired())

    async def _cancel_unread(self) -> None:
        is_running = self._end is None and bool(self.state.server)
        if is_running and await self._observer.may_cancel(self.request):
            await self._attempts.cancel_stream(
                self.request, self.state.server, self.state.attempt
            )
