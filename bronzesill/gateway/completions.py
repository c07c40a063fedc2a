"""Falcon resources for text completions and chat."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from falcon import asgi

from ..generations import (
    Ended,
    Failed,
    GenerationRequest,
    GenerationsController,
    Opened,
    Piece,
    Subscription,
)
from ..limits import AdmissionController, QuotaController, Ticket
from ..utils import (
    BronzesillError,
    PartLogger,
    ResultCode,
    chain_digest,
    stable_hash,
)
from .disconnect import run_until_disconnect, watch_disconnect
from .exchange import Exchange, run_filters
from .filters import Authenticate, NameRequest, ParseJson, ReadBody
from .parsing import parse_generation
from .rendering import AnswerRenderer, EventPosition, render_error
from .state import GatewayState

__all__ = ['CompletionsResource']

_FILTERS = (NameRequest(), Authenticate(), ReadBody(), ParseJson())

_log = PartLogger('gateway')


class CompletionsResource:
    """
    ``POST /v1/completions`` and ``POST /v1/chat/completions``.

    :param state: configuration and traffic splits in force.
    :param generations: controller of generations.
    :param admission: controller of admission.
    :param quotas: controller of quotas.
    """

    def __init__(
        self,
        state: GatewayState,
        generations: GenerationsController,
        admission: AdmissionController,
        quotas: QuotaController,
    ) -> None:
        self._state = state
        self._generations = generations
        self._admission = admission
        self._quotas = quotas

    async def on_post(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Answer a text completion."""
        await self._answer(request, response, is_chat=False)

    async def on_post_chat(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Answer a chat completion."""
        await self._answer(request, response, is_chat=True)

    async def acquire(self, exchange: Exchange, *, is_resume: bool) -> None:
        """Wait for a slot for a request."""
        loop = asyncio.get_running_loop()
        limits = exchange.document.limits
        account = exchange.account
        running = self._admission.state.running_by_account.get(account, 0)
        ticket = Ticket(
            request_id=exchange.request_id,
            account=account,
            expires_at_s=loop.time() + limits.queue_timeout_s,
            is_resume=is_resume,
        )
        async with self._quotas.expecting(account, running):
            await self._admission.acquire(ticket)

    def release(self, account: str) -> None:
        """Give back the slot of a request."""
        self._admission.release(account)

    @property
    def generations(self) -> GenerationsController:
        """Controller of generations."""
        return self._generations

    async def _answer(
        self,
        http: asgi.Request,
        response: asgi.Response,
        *,
        is_chat: bool,
    ) -> None:
        exchange = await run_filters(_FILTERS, self._state.exchange(http))
        request = parse_generation(exchange, 'chat' if is_chat else 'text')
        position = _position(http)
        renderer = AnswerRenderer(request, is_chat=is_chat, position=position)
        reader = _Reader(self, exchange, request, position)
        response.set_header('X-Request-Id', request.request_id)
        await run_until_disconnect(http, reader.open())
        reader.watch(http)
        if exchange.fields.get('stream', False):
            response.content_type = 'text/event-stream'
            response.stream = reader.events(renderer)
            return
        response.content_type = 'application/json'
        response.data = await _whole_answer(reader, renderer)


class _Reader:
    """Owner of one caller's subscription and slot."""

    def __init__(
        self,
        resource: CompletionsResource,
        exchange: Exchange,
        request: GenerationRequest,
        position: EventPosition,
    ) -> None:
        self._resource = resource
        self._exchange = exchange
        self._request = request
        self._position = position
        self._queue: Subscription | None = None
        self._watcher: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Take a slot and subscribe to the generation."""
        is_resume = self._position.offset > 0
        await self._resource.acquire(self._exchange, is_resume=is_resume)
        body_hash = stable_hash(self._exchange.body.decode(errors='replace'))
        try:
            self._queue = self._resource.generations.subscribe(
                self._request, body_hash >> 1
            )
        except BronzesillError:
            self._resource.release(self._request.account)
            raise

    def watch(self, http: asgi.Request) -> None:
        """End the answer when the caller leaves."""
        self._watcher = watch_disconnect(http, self._leave)

    def close(self) -> None:
        """Give back the slot and the subscription."""
        if self._watcher is not None:
            self._watcher.cancel()
        if self._queue is not None:
            self._resource.release(self._request.account)
            self._resource.generations.unsubscribe(self._request, self._queue)
            self._queue = None

    async def pieces(self) -> AsyncIterator[Piece | Ended]:
        """
        Yield what comes after the caller's position, to the end.

        :raises BronzesillError: the answer stays incomplete, or is not the
            one whose beginning the caller has.
        """
        check = _PositionCheck(self._position)
        arrived = await self._next()
        while isinstance(arrived, Piece):
            fresh = check.after_position(arrived)
            if fresh:
                yield Piece(arrived.offset, fresh)
            arrived = await self._next()
        yield arrived

    async def events(self, renderer: AnswerRenderer) -> AsyncIterator[bytes]:
        """Yield the answer as server-sent events."""
        try:
            async for arrived in self.pieces():
                if isinstance(arrived, Piece):
                    yield renderer.tokens(arrived.tokens)
                else:
                    yield renderer.end(arrived.total, arrived.reason)
        except BronzesillError as error:
            _log.warning('%s failed: %s', self._request.request_id, error)
            yield b'data: %b\n\n' % render_error(error)
        finally:
            self.close()

    async def _next(self) -> Piece | Ended:
        if self._queue is None:
            raise _incomplete(ResultCode.CALLER_LEFT)
        arrived = await self._queue.get()
        while isinstance(arrived, Opened):
            arrived = await self._queue.get()
        if isinstance(arrived, Failed):
            raise _incomplete(arrived.code)
        return arrived

    def _leave(self) -> None:
        if self._queue is not None:
            self._queue.put_nowait(Failed(ResultCode.CALLER_LEFT))


class _PositionCheck:
    """Skips what the caller has and checks that it is the same answer."""

    def __init__(self, position: EventPosition) -> None:
        self._position = position
        self._digest = 0

    def after_position(self, piece: Piece) -> tuple[str, ...]:
        """
        Return the tokens that the caller does not have.

        :raises BronzesillError: the caller has another answer's beginning.
        """
        known = max(self._position.offset - piece.offset, 0)
        if known:
            self._digest = chain_digest(self._digest, piece.tokens[:known])
            self._check(piece.offset + len(piece.tokens))
        return piece.tokens[known:]

    def _check(self, reached: int) -> None:
        is_complete = reached >= self._position.offset
        if is_complete and self._digest != self._position.digest:
            raise BronzesillError(
                ResultCode.DIGEST_MISMATCH,
                'the beginning of this answer is lost; send the request '
                'under a new id',
            )


async def _whole_answer(reader: _Reader, renderer: AnswerRenderer) -> bytes:
    texts: list[str] = []
    try:
        async for arrived in reader.pieces():
            if isinstance(arrived, Ended):
                return renderer.whole(
                    ''.join(texts), arrived.total, arrived.reason
                )
            texts.extend(arrived.tokens)
    finally:
        reader.close()
    raise _incomplete(ResultCode.CALLER_LEFT)


def _position(http: asgi.Request) -> EventPosition:
    try:
        return EventPosition.from_header(http.get_header('Last-Event-ID'))
    except ValueError:
        raise BronzesillError(
            ResultCode.FIELD_INVALID,
            'not run: Last-Event-ID was not written by this system',
        ) from None


def _incomplete(code: ResultCode) -> BronzesillError:
    return BronzesillError(code, 'the answer stays incomplete')
