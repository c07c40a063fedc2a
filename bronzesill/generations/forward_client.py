"""Client for engine streams of requests that are forwarded unchanged."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator

from ..upstream import (
    AnswerError,
    AnswerHead,
    ConnectionLease,
    ConnectionLost,
    ConnectionPool,
    Dialect,
    ForwardRequest,
    KvCacheCopy,
    OnAnswerHead,
    Purpose,
    RequestNotSent,
    SendPlan,
    Target,
)
from ..utils import Address
from .event_stream import EventSplitter, StreamEvent
from .messages import EndArrived, TokensArrived
from .stall_detection import USUAL_SILENCE_S
from .stream_client import AttemptRefused, StreamMessage, StreamOpening
from .subscription import HeadArrived

__all__ = ['ForwardStreamClient']

_HTTP_OK = 200
_MAX_IDLE_S = 4.0
#: Silence after which a stream with a copy leaves a path that is known to be
#: cut. Without one its prompt is read anew, which takes longer than most.
_COPIED_SILENCE_S = 0.25
#: Time in seconds after which a server counts as not accepting connections.
_PROBE_TIMEOUT_S = 0.2
_EVENT_STREAM = b'text/event-stream'


class ForwardStreamClient:
    """
    Client for engine streams of requests that are forwarded unchanged.

    Each server-sent event is handled as one token. The id of an event is its
    position in the answer, starting at 1.

    :param pool: connection pool for engines.
    :param dialect: names and formats of headers.
    :param on_head: callback for each response head.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        on_head: OnAnswerHead,
    ) -> None:
        self._pool = pool
        #: Returns whether a server needs no probe, as it sent bytes just now.
        self.is_proven_alive: Callable[[Target], bool] = _is_never
        self._probes: set[asyncio.Task[bool]] = set()
        self._dialect = dialect
        self._on_head = on_head

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """
        Open a stream and yield its messages up to the end of the response.

        :param opening: stream to open.
        :raises AttemptRefused: the engine did not run the request.
        :raises PathCut: the stream is silent and only other hosts reach the
            engine.
        :raises AnswerError: the connection failed or the response is
            invalid.
        """
        forward = _require_forward_request(opening)
        target = Target(opening.server, opening.address)
        try:
            lease = await self._pool.acquire(
                target, max_idle_s=_MAX_IDLE_S, purpose=Purpose.STREAM
            )
            async for message in self._exchange(lease, opening, forward):
                yield message
        except RequestNotSent as error:
            raise AttemptRefused(str(error)) from error

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing; closing the connection cancels a stream."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return whether an engine accepts a connection soon."""
        target = Target(server, address)
        if self.is_proven_alive(target):
            return True
        probe = asyncio.create_task(self._pool.probe(target))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)
        # A longer probe, which tries other paths, ends in the background.
        await asyncio.wait((probe,), timeout=_PROBE_TIMEOUT_S)
        return probe.done() and probe.result()

    async def _exchange(
        self,
        lease: ConnectionLease,
        opening: StreamOpening,
        forward: ForwardRequest,
    ) -> AsyncIterator[StreamMessage]:
        silence_s = _COPIED_SILENCE_S if opening.copy_to else USUAL_SILENCE_S
        watch = asyncio.create_task(lease.give_up_when_cut(silence_s))
        try:
            head = await self._send(lease, opening, forward)
            yield HeadArrived(opening.attempt, head)
            async for message in self._read_events(lease, opening, forward):
                if isinstance(message, EndArrived):
                    _check_end(message, head, opening, forward)
                yield message
        finally:
            watch.cancel()
            lease.release()

    async def _read_events(
        self,
        lease: ConnectionLease,
        opening: StreamOpening,
        forward: ForwardRequest,
    ) -> AsyncIterator[StreamMessage]:
        reader = _EventReader(opening, forward)
        body = await lease.read()
        while body:
            for message in reader.feed(body):
                yield message
            lease.keep(reader.partial_bytes)
            body = await lease.read()
        yield reader.finish()

    async def _send(
        self,
        lease: ConnectionLease,
        opening: StreamOpening,
        forward: ForwardRequest,
    ) -> AnswerHead:
        plan = _build_send_plan(opening, forward)
        head = await lease.send(self._dialect.encode(forward, plan))
        if not self._dialect.is_answer_to(head, forward):
            lease.discard()
            raise AnswerError('response belongs to another request')
        self._on_head(opening.server, head)
        if self._dialect.is_not_executed(head):
            raise AttemptRefused(f'status {head.status}')
        if head.status != _HTTP_OK:
            raise AnswerError(f'status {head.status}')
        _check_head(head, is_resumed=plan.events_received > 0)
        return head


class _EventReader:
    """
    Converts the body of one response into messages.

    :param opening: stream to which the response belongs.
    :param forward: original request.
    """

    def __init__(self, opening: StreamOpening, forward: ForwardRequest) -> None:
        self._attempt = opening.attempt
        self._next_offset = len(opening.accepted)
        self._first_event_id = forward.caller.events_received + 1
        # The events of an answer that goes on must say where they belong.
        self._has_ids = self._next_offset + self._first_event_id > 1
        self._splitter = EventSplitter()

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the incomplete event that is kept."""
        return self._splitter.partial_bytes

    def feed(self, body: bytes) -> Iterator[TokensArrived]:
        """
        Append bytes of the body and yield one message for each event.

        :raises AnswerError: an event does not go on with the answer.
        """
        for event in self._splitter.feed(body):
            offset = self._offset(event)
            self._next_offset = offset + 1
            yield TokensArrived(self._attempt, offset, (event.text,))

    def finish(self) -> EndArrived:
        """
        Return the end marker.

        :raises AnswerError: the body ends inside an event.
        """
        if self._splitter.has_partial_event:
            raise AnswerError('response ended inside an event')
        return EndArrived(self._attempt, self._next_offset, 'end')

    def _offset(self, event: StreamEvent) -> int:
        """
        Return the position of an event in the answer.

        :raises AnswerError: the event is of another run or no event at all.
        """
        self._has_ids = self._has_ids or event.number is not None
        if not self._has_ids:
            return self._next_offset
        if event.number is None or not event.is_sound:
            raise AnswerError('malformed event')
        offset = event.number - self._first_event_id
        if offset < self._next_offset:
            raise AnswerError(f'event {event.number} had arrived before')
        return offset


def _is_never(target: Target) -> bool:
    """Return ``False``; the default of ``is_proven_alive``."""
    return False


def _require_forward_request(opening: StreamOpening) -> ForwardRequest:
    forward = opening.request.forward
    if forward is None:
        raise AttemptRefused('request has no original to forward')
    return forward


def _check_head(head: AnswerHead, *, is_resumed: bool) -> None:
    """
    Reject an answer whose body cannot be events as the engine wrote them.

    :raises AnswerError: it is encoded, or goes on after earlier events with
        something else than an event stream.
    """
    if head.is_encoded:
        raise AnswerError('encoded body')
    media_type = head.find(b'content-type') or _EVENT_STREAM
    if is_resumed and not media_type.lower().startswith(_EVENT_STREAM):
        raise AnswerError('no event stream')


def _check_end(
    end: EndArrived,
    head: AnswerHead,
    opening: StreamOpening,
    forward: ForwardRequest,
) -> None:
    """
    Reject an answer without any event that does not state its end.

    :raises AnswerError: nothing tells such an end from a crash.
    """
    if end.total > len(opening.accepted):
        return
    is_first = not opening.accepted and not forward.caller.events_received
    if not head.has_length and (opening.accepted or is_first):
        raise ConnectionLost('connection ended before the first event')
    # The run before may have broken off between its last event and its end;
    # an engine states the end of such a stream by its last chunk.
    if opening.accepted and head.find(b'transfer-encoding') is None:
        raise AnswerError('no further event')


def _build_send_plan(
    opening: StreamOpening, forward: ForwardRequest
) -> SendPlan:
    now_s = asyncio.get_running_loop().time()
    copy = None
    if opening.uses_copy:
        copy = KvCacheCopy(opening.address, forward.request_id)
    return SendPlan(
        server=opening.server,
        remaining_s=forward.deadline_at_s - now_s,
        events_received=forward.caller.events_received + len(opening.accepted),
        priority=forward.priority,
        copy_to=opening.copy_to,
        copy_from=copy,
    )
