"""
Estimate of the time to answer on a server, and of the delay that it causes.

Estimates are in seconds.  They serve to compare the servers of one service, not
to predict when an answer ends.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from .views import ServerView

__all__ = [
    'DEFAULT_PREFILL_TOKENS_PER_S',
    'ExpectedTime',
    'ServiceRates',
    'StreamSize',
    'slowed_s',
]

#: Prompt tokens that a server of speed 1 prefills in a second, unless measured.
DEFAULT_PREFILL_TOKENS_PER_S = 8_000
#: Length of a prompt where none is known.
_PROMPT_TOKENS = 2_000
#: Part of its progress that a stream loses while its server prefills: it gets
#: an event about every 0.25 s in place of every 0.03 s.
_PREFILL_STALL = 0.9
#: Assumed progress of the prefill that is running.
_BEGUN_PART = 0.5
#: Mean time for which a slowdown goes on after it was reported.
_SLOWDOWN_LASTS_S = 0.3
#: Cost of a server in another failure domain.
_PATH_S = 0.1
#: Assumed probability that an answer resumes from its copy.
_RESUME_PROBABILITY = 0.25
#: Cost of a lost server besides the prefill: the time until it is noticed and
#: another one is found, increased as the pause may exceed the route's limit.
_LOSS_COST_S = 2.0
#: Part of the memory from which on it is short; runs rarely need all of their
#: maximum.
_SHORT_MEMORY_FILL = 0.8
_MAX_SHORTAGE = 2.0
#: Part of the slots for which memory of unknown size is assumed to suffice.
_UNKNOWN_MEMORY_SLOTS = 0.5
#: Resumes that cost as much as one unit of fill.  A rank of a failure domain,
#: ``choose._RUN_COST_PER_RANK``, then costs as much as one running stream, as
#: where servers are chosen by fill.
_RESUMES_PER_FILL = 6.0


@dataclasses.dataclass(frozen=True)
class ServiceRates:
    """
    Typical rates of the servers of a model, and sizes of its streams.

    :param prefill_tokens_per_s: prompt tokens prefilled in a second.
    :param event_s: seconds between two events of a stream.
    :param prompt_tokens: length of a prompt, 0 if unknown.
    :param answer_events: events of an answer.
    """

    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    event_s: float = 0.03
    prompt_tokens: int = 0
    answer_events: int = 100


@dataclasses.dataclass(frozen=True)
class StreamSize:
    """
    Size of a stream, as far as its caller stated it.

    :param prompt_tokens: length of the prompt, 0 if not stated.
    :param output_tokens: maximum length of the answer, 0 if not stated.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0


class ExpectedTime:
    """
    Expected time of one stream on each of some servers.

    :param rates: rates of the servers of its model.
    :param size: size of the stream.
    :param home_domain: failure domain without a path to another one, empty
        for none.
    :param candidates: servers that the stream may run on, at least one.
    """

    def __init__(
        self,
        rates: ServiceRates,
        size: StreamSize,
        home_domain: str,
        candidates: Sequence[ServerView],
    ) -> None:
        self._home_domain = home_domain
        prompt_tokens = (
            size.prompt_tokens or rates.prompt_tokens or _PROMPT_TOKENS
        )
        self._tokens = prompt_tokens + size.output_tokens
        self._prefill_s = prompt_tokens / rates.prefill_tokens_per_s
        typical_tokens = rates.prompt_tokens or prompt_tokens
        self._typical_prefill_s = typical_tokens / rates.prefill_tokens_per_s
        self._decode_s = rates.answer_events * rates.event_s
        running = sum(view.running for view in candidates) / len(candidates)
        # A resume prefills again and delays the streams of the new server.
        self._resume_s = _LOSS_COST_S + self._prefill_s * (
            1 + _PREFILL_STALL * running
        )

    @property
    def s_per_fill(self) -> float:
        """Cost in seconds of one unit of ``ServerView.fill``."""
        return _RESUMES_PER_FILL * self._resume_s

    def cost_s(self, view: ServerView) -> float:
        """Return the time of the answer and the delay of other streams."""
        return self.answer_s(view) + self.delay_s(view) + self._risk_s(view)

    def copy_cost_s(self, view: ServerView) -> float:
        """Return the time of an answer that may resume from a copy there."""
        decode_s = self._decode_s / _decoding_part(view) / view.speed
        resumed_s = self._queue_s(view) + decode_s
        return _RESUME_PROBABILITY * resumed_s + self._risk_s(view)

    def answer_s(self, view: ServerView) -> float:
        """Return the time to the end of the answer."""
        # While this stream runs, about as many others start there as run now.
        stalls_s = _PREFILL_STALL * view.running * self._typical_prefill_s
        work_s = (self._prefill_s + self._decode_s + stalls_s) / view.speed
        return slowed_s(self._queue_s(view) + work_s, view.slowdown)

    def delay_s(self, view: ServerView) -> float:
        """Return the delay of all streams there while the prompt is read."""
        prefill_s = slowed_s(self._prefill_s / view.speed, view.slowdown)
        return _PREFILL_STALL * view.running * prefill_s

    def _queue_s(self, view: ServerView) -> float:
        prefilling = view.own_prefilling + view.others_prefilling
        prefills = max(prefilling - _BEGUN_PART, 0)
        lacking_slots = max(view.running + 1 - view.capacity, 0)
        answer_s = self._typical_prefill_s + self._decode_s
        return (
            prefills * self._typical_prefill_s
            + lacking_slots / view.capacity * answer_s
        ) / view.speed

    def _risk_s(self, view: ServerView) -> float:
        memory_tokens = view.memory_tokens or (
            _UNKNOWN_MEMORY_SLOTS * view.capacity * self._tokens
        )
        fill = (view.tokens + self._tokens) / memory_tokens
        shortage = max(fill - _SHORT_MEMORY_FILL, 0) / (1 - _SHORT_MEMORY_FILL)
        is_outside_home = bool(self._home_domain) and (
            view.failure_domain != self._home_domain
        )
        path_s = _PATH_S if is_outside_home else 0
        return path_s + self._resume_s * min(shortage, _MAX_SHORTAGE)


def _decoding_part(view: ServerView) -> float:
    """
    Return the part of the time in which a server goes on with its streams.

    A server that prefills some prompts now is expected to go on getting as
    many, because new streams are sent where few others run.
    """
    prefilling = view.own_prefilling + view.others_prefilling
    return 1 - _PREFILL_STALL * prefilling / (prefilling + 1)


def slowed_s(work_s: float, slowdown: float) -> float:
    """
    Return the time that work takes on a machine that is slow for a while.

    :param work_s: time that it takes as usual, in seconds.
    :param slowdown: how many times as long as usual work takes now.
    """
    if slowdown <= 1:
        return work_s
    return work_s + min(
        work_s * (slowdown - 1), _SLOWDOWN_LASTS_S * (1 - 1 / slowdown)
    )
