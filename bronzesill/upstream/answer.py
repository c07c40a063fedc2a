"""Answers of backend servers and the errors of obtaining them."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from typing import TypeAlias

from .statuses import is_answer_status

__all__ = [
    'AnswerDropped',
    'AnswerError',
    'AnswerHead',
    'AnswerUnread',
    'ConnectionLost',
    'Header',
    'InvalidAnswer',
    'OnAnswerHead',
    'PathCut',
    'RequestNotSent',
    'RequestUnread',
    'require_answer_status',
    'uptime_s',
]


class RequestNotSent(ConnectionError):
    """No byte of the request was sent, so another server may be tried."""


class AnswerError(ConnectionError):
    """The request may have run; its answer is missing, truncated or invalid."""

    #: Why the answer was refused as invalid, empty if it was not.
    reason = ''


class ConnectionLost(AnswerError):
    """The connection ended before the answer was complete."""


class RequestUnread(ConnectionLost):
    """The server ended its answer before it can have read the request."""

    reason = 'request_unread'


class AnswerUnread(AnswerError):
    """
    The host did not read the whole answer; its server is not at fault.

    The server broke the answer off because it was not read in time.
    """


class AnswerDropped(AnswerUnread):
    """The host dropped the answer because it is short of memory."""


class InvalidAnswer(AnswerError):
    """
    The server sent something that is no HTTP answer to the request.

    :param reason: what is wrong, one of a few words for metrics.
    :param detail: text of the error.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f'invalid HTTP response: {detail}')
        self.reason = reason


class PathCut(AnswerError):
    """Only other hosts reach the server, which may have run the request."""


@dataclasses.dataclass(frozen=True)
class Header:
    """
    HTTP header with an undecoded value.

    :param name: name in lower case.
    :param text: bytes of the value.
    """

    name: bytes
    text: bytes


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """
    Status and headers of an answer.

    :param status: HTTP status.
    :param headers: all headers in their original order.
    :param has_length: whether the end of the body is known without closing
        the connection: by its length, by chunks, or because there is no body.
    :param asked_at_s: time at which its request was sent, in seconds of
        :func:`uptime_s`; 0 if unknown.  The server was running then or
        later; how long its answer was on the way is not known.
    """

    status: int
    headers: tuple[Header, ...]
    has_length: bool
    asked_at_s: float = 0

    @property
    def is_encoded(self) -> bool:
        """Whether the body has a content encoding; none is asked for."""
        encoding = self.find(b'content-encoding') or b'identity'
        return encoding.lower() != b'identity'

    def find(self, name: bytes) -> bytes | None:
        """
        Return the value of the first header with a name.

        :param name: name in lower case.
        :returns: the value, ``None`` if there is no such header.
        """
        for header in self.headers:
            if header.name == name:
                return header.text
        return None


def require_answer_status(status: int) -> None:
    """
    Refuse a status that another HTTP client let through.

    :param status: status of a final answer.
    :raises InvalidAnswer: it is not that of an answer.
    """
    if not is_answer_status(status):
        raise InvalidAnswer('status', f'status {status}')


def uptime_s() -> float:
    """Return seconds of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


#: Callback that receives the server name and the head of each answer.
OnAnswerHead: TypeAlias = Callable[[str, AnswerHead], None]
