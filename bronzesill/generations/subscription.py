"""What a reader of a generation receives."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TypeAlias

from ..upstream import AnswerHead
from ..utils import ResultCode
from .messages import Event

__all__ = [
    'Ended',
    'Failed',
    'HeadArrived',
    'Mail',
    'Opened',
    'Piece',
    'Subscribe',
    'Subscription',
    'Unsubscribe',
]


@dataclasses.dataclass(frozen=True)
class HeadArrived:
    """
    The head of a backend server's answer.

    :param attempt: attempt that it belongs to.
    :param head: the head.
    """

    attempt: int
    head: AnswerHead


@dataclasses.dataclass(frozen=True)
class Opened:
    """
    The answer begins with this head, whoever computes the rest of it.

    :param head: head of the answer that brought the first token.
    """

    head: AnswerHead


@dataclasses.dataclass(frozen=True)
class Piece:
    """
    Accepted tokens, in order and without gaps.

    :param offset: position of the first one.
    :param tokens: their texts.
    """

    offset: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Ended:
    """
    The answer is whole.

    :param total: tokens in the answer.
    :param reason: why the engine stopped.
    """

    total: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """
    The answer stays incomplete.

    :param code: why.
    """

    code: ResultCode


Subscription: TypeAlias = 'asyncio.Queue[Opened | Piece | Ended | Failed]'


@dataclasses.dataclass(frozen=True)
class Subscribe:
    """A reader wants the answer from its first token."""

    queue: Subscription


@dataclasses.dataclass(frozen=True)
class Unsubscribe:
    """A reader left."""

    queue: Subscription


Mail: TypeAlias = Event | HeadArrived | Subscribe | Unsubscribe
