"""Streams of engines for requests that are passed on as they came."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from ..upstream import (
    AnswerBroken,
    AnswerHead,
    ConnectionPool,
    Dialect,
    ForwardRequest,
    Lease,
    MemoryCopy,
    NotSent,
    OnAnswerHead,
    SendPlan,
    Target,
)
from ..utils import Address
from .engine_client import AttemptRefused, StreamMessage, StreamOpening
from .event_stream import EventSplitter, StreamEvent
from .messages import EndArrived, TokensArrived
from .subscription import HeadArrived

__all__ = ['ForwardStreamClient']

_HTTP_OK = 200
_MAX_IDLE_S = 4.0


class ForwardStreamClient:
    """
    Streams of all generations whose requests are passed on.

    An event's id is its position in the answer, from 1.

    :param pool: connections to engines.
    :param dialect: names and formats of headers.
    :param on_head: told of each answer that begins.
    :param on_bytes: told of the server from which more of an answer came.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        on_head: OnAnswerHead,
        on_bytes: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._on_head = on_head
        self._on_bytes = on_bytes

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """
        Open a stream and yield what it brings, to its end.

        :param opening: which stream.
        :raises AttemptRefused: the engine did not run it.
        :raises AnswerBroken: the connection broke or the answer is wrong.
        """
        forward = _forward(opening)
        lease = await self._open(opening)
        try:
            async for message in self._exchange(lease, opening, forward):
                yield message
        finally:
            lease.release()

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing: the end of its connection cancels a stream."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Say whether an engine takes a connection."""
        return await self._pool.probe(Target(server, address))

    async def _exchange(
        self, lease: Lease, opening: StreamOpening, forward: ForwardRequest
    ) -> AsyncIterator[StreamMessage]:
        head = await self._send(lease, opening, forward)
        yield HeadArrived(opening.attempt, head)
        reader = _EventReader(opening, forward)
        body = await lease.read()
        while body:
            self._on_bytes(opening.server)
            for message in reader.take(body):
                yield message
            body = await lease.read()
        yield reader.end()

    async def _open(self, opening: StreamOpening) -> Lease:
        target = Target(opening.server, opening.address)
        try:
            return await self._pool.take(target, max_idle_s=_MAX_IDLE_S)
        except NotSent as error:
            raise AttemptRefused(str(error)) from error

    async def _send(
        self, lease: Lease, opening: StreamOpening, forward: ForwardRequest
    ) -> AnswerHead:
        head = await lease.send(
            self._dialect.encode(forward, _plan(opening, forward))
        )
        self._on_head(opening.server, head)
        if not self._dialect.answers(head, forward):
            lease.discard()
            raise AnswerBroken('the answer belongs to another request')
        if self._dialect.is_not_run(head):
            raise AttemptRefused(f'status {head.status}')
        if head.status != _HTTP_OK:
            raise AnswerBroken(f'status {head.status}')
        return head


class _EventReader:
    """
    Turns the bytes of one stream into messages.

    :param opening: which stream.
    :param forward: the request as it came.
    """

    def __init__(self, opening: StreamOpening, forward: ForwardRequest) -> None:
        self._attempt = opening.attempt
        self._next = len(opening.accepted)
        self._first_number = forward.caller.events_held + 1
        self._splitter = EventSplitter()

    def take(self, body: bytes) -> list[TokensArrived]:
        """Take in bytes of the body."""
        messages = []
        for event in self._splitter.feed(body):
            offset = self._offset(event)
            messages.append(TokensArrived(self._attempt, offset, (event.text,)))
            self._next = offset + 1
        return messages

    def end(self) -> EndArrived:
        """Take in the end of the body."""
        if self._splitter.has_rest:
            raise AnswerBroken('the last event is cut')
        return EndArrived(self._attempt, self._next, 'end')

    def _offset(self, event: StreamEvent) -> int:
        if event.number is None:
            return self._next
        return max(event.number - self._first_number, 0)


def _forward(opening: StreamOpening) -> ForwardRequest:
    forward = opening.request.forward
    if forward is None:
        raise AttemptRefused('not a request that is passed on')
    return forward


def _plan(opening: StreamOpening, forward: ForwardRequest) -> SendPlan:
    now_s = asyncio.get_running_loop().time()
    copy = None
    if opening.uses_copy:
        copy = MemoryCopy(opening.address, forward.request_id)
    return SendPlan(
        server=opening.server,
        left_s=forward.deadline_at_s - now_s,
        events_held=forward.caller.events_held + len(opening.accepted),
        copy_to=opening.copy_to,
        copy_from=copy,
    )
