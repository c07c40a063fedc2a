"""Simulated continuous batching of the engine stand-in."""

from __future__ import annotations

import asyncio
import dataclasses

from ..utils import chain_digest
from .tokens import initial_digest, next_token

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
    Performance and injected faults of an engine.

    :param version: version of the model.
    :param pace_s: seconds per token in an empty batch.
    :param slowdown: relative increase of the time per token in a full batch;
        1 doubles it.
    :param capacity: maximum number of streams computed concurrently; further
        streams are queued.
    :param prefill_s_per_word: prefill time in seconds per word of a prompt
        that is not cached.
    :param linger_s: seconds after which a stream without readers is
        cancelled.
    :param fault_factor: factor on the time per token, 1 if healthy.
    :param fail_share: fraction of new streams that are rejected at random.
    :param refuses: whether all new streams are rejected.
    :param paused_until_s: event loop time until which the engine computes no
        tokens and delays its responses.
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
    Parameters of a completion request.

    :param stream_id: identifier of the stream, chosen by the caller.
    :param prompt: text to complete.
    :param seed: random seed of token sampling.
    :param max_tokens: number of tokens of the complete answer.
    :param accepted: leading tokens of the answer that the caller already
        holds; generation continues after them.
    :param priority: scheduling priority; lower values are scheduled first.
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
    Notification that a prompt was added to the prefix cache.

    :param number: sequence number of the event, starting at 0.
    :param prompt_key: hash of the prompt.
    """

    number: int
    prompt_key: int


class EngineStream:
    """
    State of one generation.

    :param request: parameters of the generation.
    :param version: version of the model.
    :param ready_at_s: event loop time at which prefill is complete.
    """

    def __init__(
        self, request: StreamRequest, version: str, ready_at_s: float
    ) -> None:
        self.request = request
        self.first_offset = len(request.accepted)
        self.tokens: list[str] = []
        self.readers = 0
        self.last_read_at_s = ready_at_s
        self.ready_at_s = ready_at_s
        self.cancelled = False
        self.progress = asyncio.Event()
        start = initial_digest(version, request.seed, request.prompt)
        self._digest = chain_digest(start, request.accepted)

    @property
    def is_done(self) -> bool:
        """Whether all tokens of the answer have been computed."""
        computed = self.first_offset + len(self.tokens)
        return computed >= self.request.max_tokens

    def compute_token(self) -> None:
        """Append the next token and wake up waiting readers."""
        token = next_token(self._digest)
        self._digest = chain_digest(self._digest, (token,))
        self.tokens.append(token)
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake up readers that wait for progress."""
        self.progress.set()
        self.progress = asyncio.Event()


class Batch:
    """
    Streams of one engine and the loop that computes their tokens.

    :param profile: performance and injected faults of the engine.
    """

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.streams_by_id: dict[str, EngineStream] = {}
        self.tokens_computed = 0
        self.prefilled_prompts = 0
        self.cache_events: list[CacheEvent] = []
        self._cached_prompts: dict[int, None] = {}

    def add(self, request: StreamRequest) -> EngineStream:
        """
        Add a stream to the batch.

        Its first token is delayed by the prefill of the accepted tokens, and
        of the prompt unless the prompt is cached.

        :param request: parameters of the generation.
        """
        prompt_key = hash(request.prompt)
        word_count = len(request.accepted)
        if prompt_key not in self._cached_prompts:
            word_count += request.prompt.count(' ')
            self.prefilled_prompts += 1
        self._cache_prompt(prompt_key)
        self.cache_events.append(CacheEvent(len(self.cache_events), prompt_key))
        prefill_s = word_count * self.profile.prefill_s_per_word
        now_s = asyncio.get_running_loop().time()
        stream = EngineStream(request, self.profile.version, now_s + prefill_s)
        self.streams_by_id[request.stream_id] = stream
        return stream

    def cancel(self, stream_id: str) -> bool:
        """Cancel a stream; return false if its id is unknown."""
        stream = self.streams_by_id.pop(stream_id, None)
        if stream is None:
            return False
        stream.cancelled = True
        stream.notify_readers()
        return True

    @property
    def running(self) -> int:
        """Number of incomplete streams, including queued ones."""
        return sum(not stream.is_done for stream in self.streams_by_id.values())

    async def run(self) -> None:
        """Compute one token of each scheduled stream per step, forever."""
        loop = asyncio.get_running_loop()
        while True:
            step_started_s = loop.time()
            stream_count = self._step(step_started_s)
            step_s = (
                self._step_duration_s(stream_count)
                if stream_count
                else _IDLE_POLL_S
            )
            elapsed_s = loop.time() - step_started_s
            await asyncio.sleep(max(step_s - elapsed_s, 0))

    def _step(self, now_s: float) -> int:
        self._cancel_abandoned(now_s)
        if now_s < self.profile.paused_until_s:
            return 0
        ready = [
            stream
            for stream in self.streams_by_id.values()
            if not stream.is_done and stream.ready_at_s <= now_s
        ]
        ready.sort(key=lambda stream: stream.request.priority)
        scheduled = ready[: self.profile.capacity]
        for stream in scheduled:
            stream.compute_token()
        self.tokens_computed += len(scheduled)
        return len(scheduled)

    def _step_duration_s(self, stream_count: int) -> float:
        utilization = stream_count / self.profile.capacity
        factor = 1 + self.profile.slowdown * utilization
        return self.profile.pace_s * factor * self.profile.fault_factor

    def _cancel_abandoned(self, now_s: float) -> None:
        for stream_id, stream in tuple(self.streams_by_id.items()):
            if stream.readers:
                stream.last_read_at_s = now_s
            elif now_s - stream.last_read_at_s > self.profile.linger_s:
                self.cancel(stream_id)

    def _cache_prompt(self, prompt_key: int) -> None:
        self._cached_prompts.pop(prompt_key, None)
        self._cached_prompts[prompt_key] = None
        if len(self._cached_prompts) > self.profile.capacity * 4:
            oldest = next(iter(self._cached_prompts))
            self._cached_prompts.pop(oldest)
