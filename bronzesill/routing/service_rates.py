"""Typical rates and sizes of the streams of a model, learnt from attempts."""

from __future__ import annotations

import collections
import statistics

from .event_pace import PaceSample, low_quantile
from .expected_time import ServiceRates

__all__ = ['RateSamples']

_MAX_SAMPLES = 31
#: With fewer samples the defaults count.
_MIN_SAMPLES = 5
#: The first event of a shorter prompt depends mostly on the network.
_MIN_PROMPT_TOKENS = 1_000
_PREFILL_QUANTILE = 0.25
_MIN_S_PER_TOKEN = 1e-6
_MAX_S_PER_TOKEN = 1e-2


class RateSamples:
    """Latest times and sizes of the streams of one model."""

    def __init__(self) -> None:
        self._prefills: collections.deque[PaceSample] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._prompt_tokens = _empty_sizes()
        self._answer_events = _empty_sizes()

    def add_first_event(self, prompt_tokens: int, first_event_s: float) -> None:
        """
        Add the start of an answer whose prompt was prefilled.

        Others may have been prefilled before it, so a low quantile is used.

        :param prompt_tokens: length of the prompt.
        :param first_event_s: seconds to the first event, at typical speed.
        """
        if prompt_tokens < _MIN_PROMPT_TOKENS:
            return
        self._prompt_tokens.append(prompt_tokens)
        s_per_token = first_event_s / prompt_tokens
        if _MIN_S_PER_TOKEN <= s_per_token <= _MAX_S_PER_TOKEN:
            self._prefills.append(PaceSample(s_per_token, 0))

    def add_answer(self, events: int) -> None:
        """Add the number of events of a whole answer."""
        self._answer_events.append(events)

    def rates(self, event_s: float | None) -> ServiceRates:
        """
        Return the rates, with defaults where too little is known.

        :param event_s: typical seconds between two events, ``None`` if unknown.
        """
        usual = ServiceRates()
        prefill_tokens_per_s = usual.prefill_tokens_per_s
        if len(self._prefills) >= _MIN_SAMPLES:
            prefill_tokens_per_s = 1 / low_quantile(
                self._prefills, _PREFILL_QUANTILE
            )
        return ServiceRates(
            prefill_tokens_per_s,
            event_s or usual.event_s,
            _median(self._prompt_tokens, usual.prompt_tokens),
            _median(self._answer_events, usual.answer_events),
        )


def _empty_sizes() -> collections.deque[int]:
    return collections.deque(maxlen=_MAX_SAMPLES)


def _median(sizes: collections.deque[int], usual: int) -> int:
    if len(sizes) < _MIN_SAMPLES:
        return usual
    return statistics.median_low(sizes)
