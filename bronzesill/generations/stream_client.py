"""Interface of the clients that read streams of model engines."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol, TypeAlias

from ..utils import Address
from .messages import EndArrived, TokensArrived
from .request import GenerationRequest
from .subscription import HeadArrived

__all__ = [
    'AttemptRefused',
    'StreamClient',
    'StreamMessage',
    'StreamOpening',
]


class AttemptRefused(Exception):
    """The engine did not start the stream."""


@dataclasses.dataclass(frozen=True)
class StreamOpening:
    """
    Parameters for opening, reading or cancelling a stream.

    :param request: request to answer.
    :param attempt: number of the attempt.
    :param address: address of the engine.
    :param accepted: tokens accepted from earlier attempts.
    :param is_attach: whether to read an existing stream instead of starting
        one.
    :param server: name of the engine.
    :param copy_to: address of the engine that keeps a copy of the run's
        memory, or None.
    :param uses_copy: whether the engine resumes from the copy it keeps.
    """

    request: GenerationRequest
    attempt: int
    address: Address
    accepted: tuple[str, ...]
    is_attach: bool = False
    server: str = ''
    copy_to: Address | None = None
    uses_copy: bool = False

    @property
    def stream_url(self) -> str:
        """URL of the stream at the engine."""
        stream_id = self.request.stream_id(self.attempt)
        return f'{self.address.url}/v1/streams/{stream_id}'


StreamMessage: TypeAlias = HeadArrived | TokensArrived | EndArrived


class StreamClient(Protocol):
    """Interface for opening, reading and cancelling streams of engines."""

    def read(self, opening: StreamOpening) -> AsyncIterator[StreamMessage]:
        """
        Open a stream and yield its messages up to the end marker.

        :param opening: stream to open.
        :raises AttemptRefused: the engine did not start the stream.
        :raises OSError: the connection failed or the response is incomplete.
        """

    async def cancel(self, opening: StreamOpening) -> None:
        """Cancel a stream; errors of the engine are ignored."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return whether an engine accepts a connection."""
