"""Attempts of one generation: open, read, time and cancel streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp

from ..utils import Address
from .engine_client import AttemptRefused, StreamClient, StreamOpening
from .messages import (
    AttemptLost,
    CancelAttempt,
    EndArrived,
    LossCause,
    OpenAttempt,
    ProbeServer,
    ServerProbed,
    TokensArrived,
)
from .observer import AttemptSeen, AttemptUse, GenerationObserver
from .request import GenerationRequest
from .stopwatch import Stopwatch
from .subscription import Mail

__all__ = ['AttemptRunner']


class _Progress:
    """
    Whether the first token of an attempt has come.

    :param server: backend server that computes it.
    :param observer: told once when it comes.
    """

    def __init__(self, server: str, observer: GenerationObserver) -> None:
        self.has_begun = False
        self._server = server
        self._observer = observer

    def note(self) -> None:
        """Note that tokens have come."""
        if not self.has_begun:
            self.has_begun = True
            self._observer.begun(self._server)


class AttemptRunner:
    """
    Owner of the upstream connection of one generation.

    :param client: client for engines.
    :param find_address: address of a backend server by name.
    :param observer: told of streams opened, closed and how they do.
    :param mailbox: where what arrives is put.
    """

    def __init__(
        self,
        client: StreamClient,
        find_address: Callable[[str], Address | None],
        observer: GenerationObserver,
        mailbox: asyncio.Queue[Mail],
    ) -> None:
        self._client = client
        self._find_address = find_address
        self._observer = observer
        self._mailbox = mailbox
        self._helpers: set[asyncio.Task[None]] = set()
        self._stream: asyncio.Task[None] | None = None
        self._server = ''
        self._watch = Stopwatch(0)

    def open(
        self,
        request: GenerationRequest,
        action: OpenAttempt,
        accepted: tuple[str, ...],
    ) -> None:
        """Open a stream and read it into the mailbox."""
        self._server = action.server
        self._watch = Stopwatch(asyncio.get_running_loop().time())
        address = self._find_address(action.server)
        if address is None:
            lost = AttemptLost(action.attempt, LossCause.REFUSED)
            self._mailbox.put_nowait(lost)
            return
        opening = StreamOpening(
            request,
            action.attempt,
            address,
            accepted,
            action.is_attach,
            server=action.server,
            copy_to=self._find_address(action.copy_to),
            uses_copy=action.uses_copy,
        )
        use = AttemptUse(action.server, action.copy_to, request.memory_tokens)
        self._stream = self.help(self._read(opening, use))

    def note_arrival(
        self, request: GenerationRequest, token_count: int
    ) -> None:
        """Take the time of accepted tokens."""
        now_s = asyncio.get_running_loop().time()
        is_first = not self._watch.first_at_s
        self._watch = self._watch.after(token_count, now_s)
        if is_first:
            first_token_s = self._watch.first_token_s
            self._observer.saw(
                AttemptSeen(request, self._server, first_token_s=first_token_s)
            )

    def note_end(self, request: GenerationRequest, *, is_failed: bool) -> None:
        """Report how the attempt ended."""
        self._observer.saw(
            AttemptSeen(
                request,
                self._server,
                is_end=True,
                is_failed=is_failed,
                token_gap_s=self._watch.token_gap_s,
            )
        )

    def cancel(self, request: GenerationRequest, action: CancelAttempt) -> None:
        """Give up a stream that is lost."""
        self._observer.lost(action.server, action.cause)
        self.note_end(request, is_failed=True)
        if self._stream is not None:
            self._stream.cancel()
        if action.cause is not LossCause.REFUSED:
            self.help(
                self.cancel_stream(request, action.server, action.attempt)
            )

    def probe(self, action: ProbeServer) -> None:
        """Find out whether the server of an attempt takes connections."""
        self.help(self._probe(action))

    async def cancel_stream(
        self, request: GenerationRequest, server: str, attempt: int
    ) -> None:
        """Tell an engine that nobody wants a stream any more."""
        address = self._find_address(server)
        if address is not None:
            await self._client.cancel(
                StreamOpening(request, attempt, address, ())
            )

    def help(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run some work that ends with the generation at the latest."""
        helper = asyncio.create_task(work)
        self._helpers.add(helper)
        helper.add_done_callback(self._helpers.discard)
        return helper

    async def close(self) -> None:
        """End all work."""
        for helper in tuple(self._helpers):
            helper.cancel()
        await asyncio.gather(*self._helpers, return_exceptions=True)

    async def _probe(self, action: ProbeServer) -> None:
        address = self._find_address(action.server)
        is_alive = address is not None and await self._client.is_alive(
            action.server, address
        )
        self._mailbox.put_nowait(ServerProbed(action.attempt, is_alive))

    async def _read(self, opening: StreamOpening, use: AttemptUse) -> None:
        self._observer.opened(use)
        progress = _Progress(use.server, self._observer)
        try:
            lost = await self._read_to_end(opening, progress)
        finally:
            self._observer.closed(use, has_begun=progress.has_begun)
        if lost is not None:
            self._mailbox.put_nowait(lost)

    async def _read_to_end(
        self, opening: StreamOpening, progress: _Progress
    ) -> AttemptLost | None:
        try:
            async for message in self._client.read(opening):
                if isinstance(message, TokensArrived):
                    progress.note()
                self._mailbox.put_nowait(message)
                if isinstance(message, EndArrived):
                    return None
        except (AttemptRefused, aiohttp.ClientConnectorError) as error:
            return AttemptLost(opening.attempt, LossCause.REFUSED, str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptLost(opening.attempt, LossCause.BROKEN, str(error))
        return AttemptLost(opening.attempt, LossCause.BROKEN, 'no end marker')
