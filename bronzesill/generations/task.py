"""Task of one generation: owns its stream, journal and readers."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp

from ..utils import Address, PartLogger
from .decisions import GenerationState, decide
from .engine_client import AttemptRefused, EngineClient, StreamOpening
from .messages import (
    Action,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    CountDropped,
    DeliverTokens,
    EndArrived,
    Event,
    FailAnswer,
    LossCause,
    OpenAttempt,
    SetTimer,
    TimerFired,
)
from .observer import GenerationObserver
from .request import GenerationRequest
from .subscription import (
    Ended,
    Failed,
    Mail,
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
        client: EngineClient,
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
        self._client = client
        self._choose = choose
        self._find_address = find_address
        self._observer = observer
        self._linger_s = linger_s
        self._readers: set[Subscription] = set()
        self._end: Ended | Failed | None = None
        self._helpers: set[asyncio.Task[None]] = set()
        self._stream: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Work until the answer ended and nobody may come back for it."""
        self._apply(Begin())
        try:
            while True:
                timeout_s = None if self._readers else self._linger_s
                async with asyncio.timeout(timeout_s):
                    mail = await self.mailbox.get()
                self._take(mail)
        except TimeoutError:
            _log.info('%s has no reader left', self.request.request_id)
            await self._cancel_unread()
        finally:
            await self._close()

    def _take(self, mail: Mail) -> None:
        match mail:
            case Subscribe():
                self._add_reader(mail.queue)
            case Unsubscribe():
                self._readers.discard(mail.queue)
            case _:
                self._apply(mail)

    def _add_reader(self, queue: Subscription) -> None:
        self._readers.add(queue)
        if self.journal:
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
                self._help(self._find_server(action))
            case OpenAttempt():
                self._open(action)
            case CancelAttempt():
                self._cancel(action)
            case SetTimer():
                self._set_timer(action.at_s)

    def _deliver(self, action: DeliverTokens) -> None:
        self._observer.accepted(len(action.tokens), is_first=not self.journal)
        self.journal.extend(action.tokens)
        piece = Piece(action.offset, action.tokens)
        for queue in self._readers:
            queue.put_nowait(piece)

    def _finish(self, end: Ended | Failed) -> None:
        self._end = end
        for queue in self._readers:
            queue.put_nowait(end)

    async def _find_server(self, action: ChooseServer) -> None:
        placement = await self._choose(self, action)
        self.request = placement.request
        self.mailbox.put_nowait(placement.event)

    def _open(self, action: OpenAttempt) -> None:
        address = self._find_address(action.server)
        if address is None:
            lost = AttemptLost(action.attempt, LossCause.REFUSED)
            self.mailbox.put_nowait(lost)
            return
        opening = StreamOpening(
            request=self.request,
            attempt=action.attempt,
            address=address,
            accepted=tuple(self.journal),
            is_attach=action.is_attach,
        )
        self._stream = self._help(self._read(opening, action.server))

    async def _read(self, opening: StreamOpening, server: str) -> None:
        self._observer.opened(server)
        try:
            cause = await self._read_to_end(opening)
        finally:
            self._observer.closed(server)
        if cause is not None:
            self.mailbox.put_nowait(AttemptLost(opening.attempt, cause))

    async def _read_to_end(self, opening: StreamOpening) -> LossCause | None:
        try:
            async for message in self._client.read(opening):
                self.mailbox.put_nowait(message)
                if isinstance(message, EndArrived):
                    return None
        except (AttemptRefused, aiohttp.ClientConnectorError):
            return LossCause.REFUSED
        except (aiohttp.ClientError, OSError, ValueError):
            return LossCause.BROKEN
        return LossCause.BROKEN

    def _cancel(self, action: CancelAttempt) -> None:
        self._observer.lost(action.server, action.cause)
        _log.warning(
            '%s lost attempt %s on %s at token %s: %s',
            self.request.request_id,
            action.attempt,
            action.server,
            self.state.accepted,
            action.cause.value,
        )
        if self._stream is not None:
            self._stream.cancel()
        if action.cause is not LossCause.REFUSED:
            self._help(self._cancel_stream(action.server, action.attempt))

    async def _cancel_stream(self, server: str, attempt: int) -> None:
        address = self._find_address(server)
        if address is not None:
            await self._client.cancel(
                StreamOpening(self.request, attempt, address, ())
            )

    def _set_timer(self, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(at_s, self.mailbox.put_nowait, TimerFired())

    def _help(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        helper = asyncio.create_task(work)
        self._helpers.add(helper)
        helper.add_done_callback(self._helpers.discard)
        return helper

    async def _cancel_unread(self) -> None:
        is_running = self._end is None and bool(self.state.server)
        if is_running and await self._observer.may_cancel(self.request):
            await self._cancel_stream(self.state.server, self.state.attempt)

    async def _close(self) -> None:
        for helper in tuple(self._helpers):
            helper.cancel()
        await asyncio.gather(*self._helpers, return_exceptions=True)
