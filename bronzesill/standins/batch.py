"""Continuous batching of the engine stand-in."""

from __future__ import annotations

import asyncio
import dataclasses

from ..utils import chain_digest
from .tokens import next_token, start_digest

__all__ = [
    'Batch',
    'CacheEvent',
    'EngineProfile',
    'EngineStream',
    'StreamRequest',
]

_IDLE_POLL_S = 0.002


@dataclasses.dataclass
class EngineProfile:
    """
    How an engine behaves; its faults are set here too.

    :param version: version the engine runs.
    :param pace_s: seconds a token takes in an empty batch.
    :param slowdown: factor by which a full batch is slower.
    :param capacity: streams computed at once; more wait.
    :param prefill_s_per_word: seconds to read one word of a new prompt.
    :param linger_s: seconds a stream outlives its last reader.
    :param fault_factor: factor on the pace, 1 when healthy.
    :param fail_share: share of new streams that fail.
    :param refuses: whether new streams are refused.
    :param paused_until_s: loop time until which nothing happens.
    """

    version: str
    pace_s: float = 0.02
    slowdown: float = 1
    capacity: int = 16
    prefill_s_per_word: float = 0.00002
    linger_s: float = 10
    fault_factor: float = 1
    fail_share: float = 0
    refuses: bool = False
    paused_until_s: float = 0


@dataclasses.dataclass(frozen=True)
class StreamRequest:
    """
    What a caller of the engine asks for.

    :param stream_id: name of the stream, chosen by the caller.
    :param prompt: text to continue.
    :param seed: seed of the choice of tokens.
    :param max_tokens: length of the whole answer.
    :param accepted: tokens of the answer that the caller already has.
    :param priority: smaller runs earlier.
    """

    stream_id: str
    prompt: str
    seed: int
    max_tokens: int
    accepted: tuple[str, ...] = ()
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """
    Word that a prompt is in the engine's cache.

    :param number: number of the event.
    :param prompt_key: hash of the prompt.
    """

    number: int
    prompt_key: int


class EngineStream:
    """
    One stream being computed.

    :param request: what was asked for.
    :param version: version that computes it.
    :param ready_at_s: loop time at which the prompt has been read.
    """

    def __init__(
        self, request: StreamRequest, version: str, ready_at_s: float
    ) -> None:
        self.request = request
        self.first_offset = len(request.accepted)
        self.tokens: list[str] = []
        self.readers = 0
        self.unread_since_s = ready_at_s
        self.ready_at_s = ready_at_s
        self.cancelled = False
        self.progress = asyncio.Event()
        start = start_digest(version, request.seed, request.prompt)
        self._digest = chain_digest(start, request.accepted)

    @property
    def is_done(self) -> bool:
        """Whether the whole answer is computed."""
        computed = self.first_offset + len(self.tokens)
        return computed >= self.request.max_tokens

    def step(self) -> None:
        """Compute one token."""
        token = next_token(self._digest)
        self._digest = chain_digest(self._digest, (token,))
        self.tokens.append(token)
        self.wake()

    def wake(self) -> None:
        """Let readers look again."""
        self.progress.set()
        self.progress = asyncio.Event()


class Batch:
    """
    The streams of one engine and the loop that computes them.

    :param profile: how the engine behaves.
    """

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.streams_by_id: dict[str, EngineStream] = {}
        self.tokens_computed = 0
        self.prompts_read = 0
        self.cache_events: list[CacheEvent] = []
        self._cached_prompts: dict[int, None] = {}

    def add(self, request: StreamRequest) -> EngineStream:
        """Take in a stream; the prompt is read first unless it is cached."""
        prompt_key = hash(request.prompt)
        word_count = len(request.accepted)
        if prompt_key not in self._cached_prompts:
            word_count += request.prompt.count(' ')
            self.prompts_read += 1
        self._remember(prompt_key)
        self.cache_events.append(CacheEvent(len(self.cache_events), prompt_key))
        prefill_s = word_count * self.profile.prefill_s_per_word
        now_s = asyncio.get_running_loop().time()
        stream = EngineStream(request, self.profile.version, now_s + prefill_s)
        self.streams_by_id[request.stream_id] = stream
        return stream

    def cancel(self, stream_id: str) -> bool:
        """Drop a stream; false if there is none of that name."""
        stream = self.streams_by_id.pop(stream_id, None)
        if stream is None:
            return False
        stream.cancelled = True
        stream.wake()
        return True

    @property
    def running(self) -> int:
        """Streams not yet computed to their end."""
        return sum(not stream.is_done for stream in self.streams_by_id.values())

    async def run(self) -> None:
        """Compute one token of each running stream per step, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            step_started_s = loop.time()
            ran = self._step(step_started_s)
            step_s = self._step_duration_s(ran) if ran else _IDLE_POLL_S
            spent_s = loop.time() - step_started_s
            await asyncio.sleep(max(step_s - spent_s, 0))

    def _step(self, now_s: float) -> int:
        self._drop_unread(now_s)
        if now_s < self.profile.paused_until_s:
            return 0
        ready = [
            stream
            for stream in self.streams_by_id.values()
            if not stream.is_done and stream.ready_at_s <= now_s
        ]
        ready.sort(key=lambda stream: stream.request.priority)
        chosen = ready[: self.profile.capacity]
        for stream in chosen:
            stream.step()
        self.tokens_computed += len(chosen)
        return len(chosen)

    def _step_duration_s(self, ran: int) -> float:
        fill = ran / self.profile.capacity
        factor = 1 + self.profile.slowdown * fill
        return self.profile.pace_s * factor * self.profile.fault_factor

    def _drop_unread(self, now_s: float) -> None:
        for stream_id, stream in tuple(self.streams_by_id.items()):
            if stream.readers:
                stream.unread_since_s = now_s
            elif now_s - stream.unread_since_s > self.profile.linger_s:
                self.cancel(stream_id)

    def _remember(self, prompt_key: int) -> None:
        self._cached_prompts.pop(prompt_key, None)
        self._cached_prompts[prompt_key] = None
        if len(self._cached_prompts) > self.profile.capacity * 4:
            oldest = next(iter(self._cached_prompts))
            self._cached_prompts.pop(oldest)
