"""What was seen of versions: counts and histograms that add up."""

import bisect
import dataclasses
import itertools
import math

__all__ = ['BUCKET_EDGES_S', 'EngineEvidence', 'Evidence', 'bucket_of_s']

_BUCKETS = 84
_FIRST_EDGE_S = 0.002
_RATIO = 1.12

#: Upper edges of the latency buckets in seconds, each 1.12 times the last.
BUCKET_EDGES_S = tuple(
    _FIRST_EDGE_S * math.pow(_RATIO, number) for number in range(_BUCKETS - 1)
)

_EMPTY = (0,) * _BUCKETS


def bucket_of_s(latency_s: float) -> int:
    """Return the number of a latency's bucket."""
    return bisect.bisect_right(BUCKET_EDGES_S, latency_s)


def _add(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(left + right for left, right in zip(one, other, strict=True))


@dataclasses.dataclass(frozen=True)
class EngineEvidence:
    """
    What was seen of one backend server over a while.

    :param version: version it ran.
    :param requests: requests that ended on it, failed ones too.
    :param failures: failures: lost, wrong, cut or refused answers.
    :param first_token: requests by bucket of time to the first token.
    :param token_gap: requests by bucket of mean time between tokens.
    """

    version: str
    requests: int = 0
    failures: int = 0
    first_token: tuple[int, ...] = _EMPTY
    token_gap: tuple[int, ...] = _EMPTY

    def plus(self, other: 'EngineEvidence') -> 'EngineEvidence':
        """Add what was seen elsewhere or later."""
        return EngineEvidence(
            self.version,
            self.requests + other.requests,
            self.failures + other.failures,
            _add(self.first_token, other.first_token),
            _add(self.token_gap, other.token_gap),
        )


@dataclasses.dataclass(frozen=True)
class Evidence:
    """
    What was seen of all servers of one subject over a while.

    :param by_engine: evidence by name of the backend server.
    """

    by_engine: dict[str, EngineEvidence] = dataclasses.field(
        default_factory=dict
    )

    def plus(self, other: 'Evidence') -> 'Evidence':
        """Add what was seen elsewhere or later."""
        names = itertools.chain(self.by_engine, other.by_engine)
        return Evidence(
            {name: self._sum(name, other) for name in dict.fromkeys(names)}
        )

    def of_version(self, version: str) -> dict[str, EngineEvidence]:
        """Return the evidence of the servers that ran a version."""
        return {
            name: seen
            for name, seen in self.by_engine.items()
            if seen.version == version
        }

    def _sum(self, name: str, other: 'Evidence') -> EngineEvidence:
        mine = self.by_engine.get(name)
        theirs = other.by_engine.get(name)
        if mine is None or theirs is None:
            present = mine or theirs
            return present or EngineEvidence('')
        if mine.version != theirs.version:
            return theirs
        return mine.plus(theirs)
