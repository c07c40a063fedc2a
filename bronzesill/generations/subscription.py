"""Readers of a generation's answer, and the messages they receive."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TypeAlias

from ..upstream import AnswerError, AnswerHead, AnswerMemory
from ..utils import ResultCode
from .messages import Event

__all__ = [
    'AcceptedTokens',
    'AnswerCompleted',
    'AnswerFailed',
    'AnswerReaders',
    'AnswerStarted',
    'AnswerTooLarge',
    'HeadArrived',
    'KeptTokens',
    'Subscribe',
    'Subscribers',
    'Subscription',
    'TaskMessage',
    'Unsubscribe',
]

#: Memory of a token beside its text: the object and its places in lists.
_TOKEN_OVERHEAD_BYTES = 64


@dataclasses.dataclass(frozen=True)
class HeadArrived:
    """
    A backend server sent the head of its response.

    :param attempt: number of the attempt.
    :param head: status and headers of the response.
    """

    attempt: int
    head: AnswerHead


@dataclasses.dataclass(frozen=True)
class AnswerStarted:
    """
    First message to a reader: the response head to forward.

    The head is unchanged if another server computes the rest of the answer.

    :param head: head of the response that contained the first token.
    """

    head: AnswerHead


@dataclasses.dataclass(frozen=True)
class AcceptedTokens:
    """
    Accepted tokens, in order and without gaps.

    :param offset: position of the first token in the answer.
    :param tokens: texts of the tokens.
    """

    offset: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class AnswerCompleted:
    """
    The answer is complete.

    :param total: number of tokens in the answer.
    :param reason: finish reason given by the engine.
    :param lost_attempts: numbers of lost attempts by cause, for the log.
    """

    total: int
    reason: str
    lost_attempts: str = ''


@dataclasses.dataclass(frozen=True)
class AnswerFailed:
    """
    The answer cannot be completed.

    :param code: result code of the failure.
    :param lost_attempts: numbers of lost attempts by cause, for the log.
    :param retry_after_s: seconds after which the caller may try again,
        ``None`` if not stated.
    """

    code: ResultCode
    lost_attempts: str = ''
    retry_after_s: float | None = None


Subscription: TypeAlias = (
    'asyncio.Queue['
    'AnswerStarted | AcceptedTokens | AnswerCompleted | AnswerFailed]'
)


@dataclasses.dataclass(frozen=True)
class Subscribe:
    """Add a reader, which receives the answer from its first token."""

    queue: Subscription


@dataclasses.dataclass(frozen=True)
class AnswerTooLarge:
    """The answer is the largest of more bytes than the host may keep."""


@dataclasses.dataclass(frozen=True)
class Unsubscribe:
    """Remove a reader."""

    queue: Subscription


TaskMessage: TypeAlias = (
    Event | HeadArrived | AnswerTooLarge | Subscribe | Unsubscribe
)


class Subscribers:
    """
    Readers of a generation, also those that its task does not know yet.

    :param mailbox: mailbox of the generation's task.
    """

    def __init__(self, mailbox: asyncio.Queue[TaskMessage]) -> None:
        self._mailbox = mailbox
        self._queues: set[Subscription] = set()

    @property
    def is_empty(self) -> bool:
        """Whether all readers have left."""
        return not self._queues

    def add(self, queue: Subscription) -> None:
        """Add a reader, which receives the answer from its first token."""
        self._queues.add(queue)
        self._mailbox.put_nowait(Subscribe(queue))

    def remove(self, queue: Subscription) -> None:
        """Remove a reader; this holds at once."""
        self._queues.discard(queue)
        self._mailbox.put_nowait(Unsubscribe(queue))


class KeptTokens:
    """
    Tokens of an answer, kept for its readers and for further attempts.

    :param memory: bytes of all answers that the host keeps.
    :param mailbox: mailbox of the generation's task, which learns when the
        answer is too large.
    """

    def __init__(
        self, memory: AnswerMemory, mailbox: asyncio.Queue[TaskMessage]
    ) -> None:
        self._memory = memory
        self._mailbox = mailbox
        self._texts: list[str] = []

    def __bool__(self) -> bool:
        return bool(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """All tokens, in order."""
        return tuple(self._texts)

    def extend(self, tokens: tuple[str, ...]) -> None:
        """Keep further tokens."""
        self._texts.extend(tokens)
        try:
            self._memory.grow(
                self,
                sum(len(token) + _TOKEN_OVERHEAD_BYTES for token in tokens),
            )
        except AnswerError as error:
            self.fail(error)

    def fail(self, error: AnswerError) -> None:
        """Report that the answer is too large to be kept."""
        self._mailbox.put_nowait(AnswerTooLarge())

    def clear(self) -> None:
        """Keep no token."""
        self._texts.clear()
        self._memory.forget(self)


class AnswerReaders:
    """
    Readers that the task of a generation knows, and what they receive.

    :param mailbox: mailbox of the generation's task.
    :param accepted_tokens: tokens of the answer, which grow by each delivery.
    :param unread_timeout_s: seconds without a reader after which the
        generation stops.
    """

    def __init__(
        self,
        mailbox: asyncio.Queue[TaskMessage],
        accepted_tokens: KeptTokens,
        unread_timeout_s: float,
    ) -> None:
        self.unread_timeout_s = unread_timeout_s
        self._mailbox = mailbox
        self._accepted_tokens = accepted_tokens
        self._queues: set[Subscription] = set()
        self._unread_since_s = asyncio.get_running_loop().time()
        self._answer_started: AnswerStarted | None = None
        self._end: AnswerCompleted | AnswerFailed | None = None

    @property
    def has_end(self) -> bool:
        """Whether the end of the answer is known to the readers."""
        return self._end is not None

    async def next_message(self) -> TaskMessage:
        """
        Return the next message of the mailbox.

        :raises TimeoutError: there has been no reader for the timeout.
        """
        if self._queues:
            return await self._mailbox.get()
        async with asyncio.timeout_at(
            self._unread_since_s + self.unread_timeout_s
        ):
            return await self._mailbox.get()

    def add(self, queue: Subscription) -> None:
        """Add a reader; send it what is known of the answer."""
        self._queues.add(queue)
        if self._accepted_tokens:
            self._send_head(queue)
            queue.put_nowait(AcceptedTokens(0, self._accepted_tokens.texts))
        if self._end is not None:
            queue.put_nowait(self._end)

    def remove(self, queue: Subscription) -> None:
        """Remove a reader."""
        self._queues.discard(queue)
        self._unread_since_s = asyncio.get_running_loop().time()

    def record_head(self, head: AnswerHead) -> None:
        """Record the head of the current attempt until a token is accepted."""
        if not self._accepted_tokens:
            self._answer_started = AnswerStarted(head)

    def deliver(self, delivery: AcceptedTokens) -> None:
        """Keep further tokens and send them to the readers."""
        self._accepted_tokens.extend(delivery.tokens)
        for queue in self._queues:
            if not delivery.offset:
                self._send_head(queue)
            queue.put_nowait(delivery)

    def drop_unread(self) -> None:
        """Drop the tokens, also those that slow readers have not taken yet."""
        self._accepted_tokens.clear()
        if self._end is not None:
            # A whole answer stays whole for those who still read it.
            return
        for queue in self._queues:
            while not queue.empty():
                queue.get_nowait()

    def finish(self, end: AnswerCompleted | AnswerFailed) -> None:
        """Send the end of the answer to the readers."""
        self._end = end
        for queue in self._queues:
            if isinstance(end, AnswerCompleted) and not end.total:
                self._send_head(queue)
            queue.put_nowait(end)

    def _send_head(self, queue: Subscription) -> None:
        if self._answer_started is not None:
            queue.put_nowait(self._answer_started)
