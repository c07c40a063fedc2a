"""Evidence on versions: additive counts and latency histograms."""

import bisect
import dataclasses
import itertools
import math

__all__ = ['BUCKET_EDGES_S', 'Evidence', 'ServerEvidence', 'bucket_of_s']

_BUCKET_COUNT = 84
_FIRST_EDGE_S = 0.002
_EDGE_RATIO = 1.12

#: Upper edges of the latency buckets in seconds, each 1.12 times the one
#: before; the last bucket has none.
BUCKET_EDGES_S = tuple(
    _FIRST_EDGE_S * math.pow(_EDGE_RATIO, index)
    for index in range(_BUCKET_COUNT - 1)
)

_EMPTY = (0,) * _BUCKET_COUNT


def bucket_of_s(latency_s: float) -> int:
    """Return the index of the histogram bucket of a latency in seconds."""
    return bisect.bisect_right(BUCKET_EDGES_S, latency_s)


def _add(left: tuple[int, ...], right: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(one + other for one, other in zip(left, right, strict=True))


@dataclasses.dataclass(frozen=True)
class ServerEvidence:
    """
    Counts of one backend server over a period.

    :param version: version that the server ran.
    :param requests: number of finished requests, including failed ones.
    :param failures: number of failed requests: their answers were lost,
        wrong, truncated or refused.
    :param first_token: number of requests by bucket of the time to the first
        token.
    :param token_gap: number of requests by bucket of the mean time between
        tokens.
    """

    version: str
    requests: int = 0
    failures: int = 0
    first_token: tuple[int, ...] = _EMPTY
    token_gap: tuple[int, ...] = _EMPTY

    def plus(self, other: 'ServerEvidence') -> 'ServerEvidence':
        """Return the sum with counts of another daemon or period."""
        return ServerEvidence(
            self.version,
            self.requests + other.requests,
            self.failures + other.failures,
            _add(self.first_token, other.first_token),
            _add(self.token_gap, other.token_gap),
        )


@dataclasses.dataclass(frozen=True)
class Evidence:
    """
    Counts of all backend servers of one subject over a period.

    :param by_server: counts by name of the backend server.
    """

    by_server: dict[str, ServerEvidence] = dataclasses.field(
        default_factory=dict
    )

    def plus(self, other: 'Evidence') -> 'Evidence':
        """
        Return the sum with counts of another daemon or period.

        If the version of a server differs, only its counts in `other` are
        kept.

        :param other: counts to add.
        """
        names = itertools.chain(self.by_server, other.by_server)
        return Evidence(
            {name: self._sum(name, other) for name in dict.fromkeys(names)}
        )

    def of_version(self, version: str) -> dict[str, ServerEvidence]:
        """Return the counts of the servers that ran a version, by name."""
        return {
            name: server
            for name, server in self.by_server.items()
            if server.version == version
        }

    def _sum(self, name: str, other: 'Evidence') -> ServerEvidence:
        own = self.by_server.get(name)
        added = other.by_server.get(name)
        if own is None or added is None:
            single = own or added
            return single or ServerEvidence('')
        if own.version != added.version:
            return added
        return own.plus(added)
