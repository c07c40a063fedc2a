"""Falcon resource for text and chat completions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from falcon import asgi

from ..generations import (
    AcceptedTokens,
    AnswerCompleted,
    AnswerFailed,
    AnswerStarted,
    GenerationRequest,
    GenerationsController,
    Subscription,
)
from ..limits.admission import Ticket
from ..limits.controller import AdmissionController
from ..limits.quota_controller import QuotaController
from ..utils import (
    BronzesillError,
    PartLogger,
    ResultCode,
    chain_digest,
    stable_hash,
)
from .disconnect import run_until_disconnect, watch_disconnect
from .exchange import Exchange, run_filters
from .filters import AssignRequestId, Authenticate, ParseJson, ReadBody
from .parsing import parse_generation
from .rendering import AnswerRenderer, EventPosition, render_error
from .state import GatewayState

__all__ = ['CompletionsResource']

_FILTERS = (AssignRequestId(), Authenticate(), ReadBody(), ParseJson())

_log = PartLogger('gateway')


class CompletionsResource:
    """
    ``POST /v1/completions`` and ``POST /v1/chat/completions``.

    :param state: configuration in force.
    :param generations: runs generations.
    :param admission: grants slots to requests.
    :param quotas: enforces the quotas of client accounts.
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
        """Handle a text completion request."""
        await self._answer(request, response, is_chat=False)

    async def on_post_chat(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Handle a chat completion request."""
        await self._answer(request, response, is_chat=True)

    async def acquire(self, exchange: Exchange, *, is_resume: bool) -> None:
        """
        Wait for a slot for a request.

        :param exchange: the authenticated request.
        :param is_resume: whether the caller resumes an earlier answer.
        :raises BronzesillError: no slot was granted.
        """
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
        """
        Release the slot of a request.

        :param account: client account of the request.
        """
        self._admission.release(account)

    @property
    def generations(self) -> GenerationsController:
        """Controller that runs generations."""
        return self._generations

    async def _answer(
        self,
        http: asgi.Request,
        response: asgi.Response,
        *,
        is_chat: bool,
    ) -> None:
        exchange = await run_filters(_FILTERS, self._state.new_exchange(http))
        request = parse_generation(exchange, 'chat' if is_chat else 'text')
        position = _position(http)
        renderer = AnswerRenderer(request, is_chat=is_chat, position=position)
        reader = _AnswerReader(self, exchange, request, position)
        response.set_header('X-Request-Id', request.request_id)
        await run_until_disconnect(http, asyncio.create_task(reader.open()))
        reader.end_on_disconnect(http)
        if exchange.fields.get('stream', False):
            response.content_type = 'text/event-stream'
            response.stream = reader.events(renderer)
            return
        response.content_type = 'application/json'
        response.data = await _collect_answer(reader, renderer)


class _AnswerReader:
    """
    Holds the subscription and the slot of one caller until closed.

    :param resource: grants slots and runs generations.
    :param exchange: the authenticated request.
    :param request: generation request parsed from it.
    :param position: position after which the caller resumes.
    """

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
        self._subscription: Subscription | None = None
        self._disconnect_watcher: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """
        Acquire a slot and subscribe to the generation.

        :raises BronzesillError: no slot was granted, or the request id is in
            use for another body.
        """
        is_resume = self._position.offset > 0
        await self._resource.acquire(self._exchange, is_resume=is_resume)
        body_hash = stable_hash(self._exchange.body.decode(errors='replace'))
        try:
            self._subscription = self._resource.generations.subscribe(
                self._request, body_hash >> 1
            )
        except BronzesillError:
            self._resource.release(self._request.account)
            raise

    def end_on_disconnect(self, http: asgi.Request) -> None:
        """End the answer when the caller disconnects."""
        self._disconnect_watcher = watch_disconnect(http, self._on_disconnect)

    def close(self) -> None:
        """Release the slot and unsubscribe; idempotent."""
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.cancel()
        if self._subscription is not None:
            self._resource.release(self._request.account)
            self._resource.generations.unsubscribe(
                self._request, self._subscription
            )
            self._subscription = None

    async def updates(self) -> AsyncIterator[AcceptedTokens | AnswerCompleted]:
        """
        Yield the tokens after the caller's position, then the end.

        :raises BronzesillError: the answer is incomplete, or its beginning
            differs from the tokens that the caller has received.
        """
        resume_filter = _ResumeFilter(self._position)
        update = await self._next_update()
        while isinstance(update, AcceptedTokens):
            unseen = resume_filter.unseen_tokens(update)
            if unseen:
                yield AcceptedTokens(update.offset, unseen)
            update = await self._next_update()
        yield update

    async def events(self, renderer: AnswerRenderer) -> AsyncIterator[bytes]:
        """
        Yield the answer as server-sent events.

        Because the status has been sent by then, a failure is reported as a
        final event.
        """
        try:
            async for update in self.updates():
                if isinstance(update, AcceptedTokens):
                    yield renderer.tokens(update.tokens)
                else:
                    yield renderer.end(update.total, update.reason)
        except BronzesillError as error:
            _log.warning(
                'stream %s failed: %s', self._request.request_id, error
            )
            yield b'data: %b\n\n' % render_error(error)
        finally:
            self.close()

    async def _next_update(self) -> AcceptedTokens | AnswerCompleted:
        if self._subscription is None:
            raise _incomplete_error(ResultCode.CALLER_LEFT)
        update = await self._subscription.get()
        while isinstance(update, AnswerStarted):
            update = await self._subscription.get()
        if isinstance(update, AnswerFailed):
            raise _incomplete_error(update.code)
        return update

    def _on_disconnect(self) -> None:
        if self._subscription is not None:
            self._subscription.put_nowait(AnswerFailed(ResultCode.CALLER_LEFT))


class _ResumeFilter:
    """
    Skips tokens that the caller has already received.

    Verifies by digest that the skipped tokens are the ones received.

    :param position: position after which the caller resumes.
    """

    def __init__(self, position: EventPosition) -> None:
        self._position = position
        self._digest = 0

    def unseen_tokens(self, piece: AcceptedTokens) -> tuple[str, ...]:
        """
        Return the tokens that the caller has not received.

        :raises BronzesillError: ``DIGEST_MISMATCH``, the skipped tokens
            differ from those that the caller has received.
        """
        held_count = max(self._position.offset - piece.offset, 0)
        if held_count:
            self._digest = chain_digest(self._digest, piece.tokens[:held_count])
            self._check_digest(piece.offset + len(piece.tokens))
        return piece.tokens[held_count:]

    def _check_digest(self, end_offset: int) -> None:
        is_complete = end_offset >= self._position.offset
        if is_complete and self._digest != self._position.digest:
            raise BronzesillError(
                ResultCode.DIGEST_MISMATCH,
                'the answer cannot be resumed because its beginning is no '
                'longer available; send the request with a new request id',
            )


async def _collect_answer(
    reader: _AnswerReader, renderer: AnswerRenderer
) -> bytes:
    texts: list[str] = []
    try:
        async for update in reader.updates():
            if isinstance(update, AnswerCompleted):
                return renderer.render_complete(
                    ''.join(texts), update.total, update.reason
                )
            texts.extend(update.tokens)
    finally:
        reader.close()
    raise _incomplete_error(ResultCode.CALLER_LEFT)


def _position(http: asgi.Request) -> EventPosition:
    try:
        return EventPosition.from_header(http.get_header('Last-Event-ID'))
    except ValueError:
        raise BronzesillError(
            ResultCode.FIELD_INVALID,
            'not run: Last-Event-ID is not a valid event id of this service',
        ) from None


def _incomplete_error(code: ResultCode) -> BronzesillError:
    return BronzesillError(code, 'answer incomplete')
