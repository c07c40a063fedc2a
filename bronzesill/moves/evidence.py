"""Evidence on versions: additive counts and latency histograms."""

import bisect
import dataclasses
import itertools
import math

__all__ = [
    'BUCKET_EDGES_S',
    'Evidence',
    'RequestCounts',
    'ServerEvidence',
    'SoundAnswers',
    'StartedAnswers',
    'bucket_of_s',
    'count_from_bucket',
    'median_bucket',
]

_BUCKET_COUNT = 84
_FIRST_EDGE_S = 0.002
_EDGE_RATIO = 1.12

#: Answers of each version that a comparison of their times needs.
_MIN_OLD_STARTS = 3
_MIN_NEW_STARTS = 3
#: Answers of the old version that count as being of the same time.
_RECENT_STARTS = 5
#: A first token is late if it takes more than this number of buckets longer
#: than the median of the old version, 1.76 times as long.
_LATE_BUCKET_OFFSET = 5

#: A failing version fails at least this part of its requests, or this multiple
#: of the part that the old version fails.
_MIN_FAILING_RATIO = 0.3
_FAILING_MULTIPLE = 2.5
_MAX_FAILING_RATIO = 0.9
#: Range of the part that a sound version is taken to fail.
_SOUND_RATIOS = (0.02, 0.35)
#: Answers of a sound version that are added to those of the old one, so that a
#: few failures of it do not count as its usual part.
_PRIOR_ANSWERS = 20
#: Logarithm of the odds that a committed version is sound and not failing.
_COMMIT_LOG_ODDS = 3.0
#: Failures of one server that count in one step: at least so many, or this part
#: of its answers.  A crash fails all requests that run on a server.
_MIN_COUNTED_FAILURES = 2
_COUNTED_PART_DIVISOR = 8

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


@dataclasses.dataclass(frozen=True)
class RequestCounts:
    """
    Number of requests and of bad events among them.

    :param requests: number of requests.
    :param bad: number of bad events.
    """

    requests: float = 0
    bad: float = 0

    def plus(self, other: 'RequestCounts') -> 'RequestCounts':
        """Return the sum of both counts."""
        return RequestCounts(
            self.requests + other.requests, self.bad + other.bad
        )


def count_from_bucket(histogram: tuple[int, ...], first: int) -> RequestCounts:
    """Return all requests of a histogram, bad those from a bucket on."""
    return RequestCounts(sum(histogram), sum(histogram[first:]))


def median_bucket(histogram: tuple[float, ...]) -> int:
    """Return the index of the bucket that holds the median."""
    half_count = sum(histogram) / 2
    cumulative: float = 0
    for bucket, count in enumerate(histogram):
        cumulative += count
        if cumulative >= half_count:
            return bucket
    return 0


@dataclasses.dataclass(frozen=True)
class StartedAnswers:
    """
    Times to the first token since the move began, over all servers.

    They count at once, not only when their requests end, and without a
    warm-up: a slow version shows little else in a short time.  Answers are
    compared with those that the old version began at about the same time, as
    both become slower and faster with the load.

    :param new: answers of the new version that were compared, and the late
        ones among them.
    :param old: number of answers of the old version.
    :param recent_old: histogram of the last answers of the old version.
    :param pending: histogram of answers of the new version that wait for
        answers of the old one.
    """

    new: RequestCounts = RequestCounts()
    old: int = 0
    recent_old: tuple[float, ...] = ServerEvidence('').first_token
    pending: tuple[int, ...] = ServerEvidence('').first_token

    def updated_with(
        self, evidence: Evidence, new_version: str, old_version: str
    ) -> 'StartedAnswers':
        """Return the times with those of one more step."""
        old = _first_tokens(evidence, old_version)
        pending = _sum_histograms(
            self.pending, _first_tokens(evidence, new_version)
        )
        updated = dataclasses.replace(
            self,
            old=self.old + sum(old),
            recent_old=_with_recent(self.recent_old, old),
            pending=pending,
        )
        return updated._compare()

    @property
    def speaks_for_new(self) -> bool:
        """
        Whether enough answers of the new version began, most of them in time.

        True as well if the old version has too few to compare them with.
        """
        if self.old < _MIN_OLD_STARTS:
            return True
        has_enough = self.new.requests >= _MIN_NEW_STARTS
        return has_enough and 2 * self.new.bad <= self.new.requests

    def explain(self) -> str:
        """Return the numbers of answers, for a log."""
        began = int(self.new.requests) + sum(self.pending)
        return (
            f'{began} began, {int(self.new.bad)} late, '
            f'{self.old} of the old version'
        )

    def _compare(self) -> 'StartedAnswers':
        if self.old < _MIN_OLD_STARTS:
            return self
        first_late = median_bucket(self.recent_old) + _LATE_BUCKET_OFFSET + 1
        counts = count_from_bucket(self.pending, first_late)
        return dataclasses.replace(
            self,
            new=self.new.plus(counts),
            pending=ServerEvidence('').first_token,
        )


@dataclasses.dataclass(frozen=True)
class SoundAnswers:
    """
    Answers that began or failed since the move began, over all servers.

    A version is committed only if they are much likelier for a sound version
    than for one that fails a large part of its requests.  Too few answers are
    as likely for either, so they never speak for a version.

    :param new: answers of the new version, and failures among them.
    :param old: answers of the old version, and failures among them.
    """

    new: RequestCounts = RequestCounts()
    old: RequestCounts = RequestCounts()

    def updated_with(
        self, evidence: Evidence, new_version: str, old_version: str
    ) -> 'SoundAnswers':
        """Return the answers with those of one more step."""
        return SoundAnswers(
            self.new.plus(_answers(evidence, new_version)),
            self.old.plus(_answers(evidence, old_version)),
        )

    @property
    def log_odds(self) -> float:
        """Logarithm of the odds that the new version is not a failing one."""
        sound = self._sound_ratio
        failing = min(
            max(_MIN_FAILING_RATIO, _FAILING_MULTIPLE * sound),
            _MAX_FAILING_RATIO,
        )
        good = self.new.requests - self.new.bad
        return good * math.log((1 - sound) / (1 - failing)) - (
            self.new.bad * math.log(failing / sound)
        )

    @property
    def speaks_for_new(self) -> bool:
        """Whether enough answers of the new version did not fail."""
        return self.log_odds >= _COMMIT_LOG_ODDS

    def explain(self) -> str:
        """Return the numbers of answers and the odds, for a log."""
        return (
            f'{int(self.new.requests)} answered, {int(self.new.bad)} failed, '
            f'log odds {self.log_odds:.1f}'
        )

    @property
    def _sound_ratio(self) -> float:
        lowest, highest = _SOUND_RATIOS
        failed = self.old.bad + lowest * _PRIOR_ANSWERS
        ratio = failed / (self.old.requests + _PRIOR_ANSWERS)
        return min(max(ratio, lowest), highest)


def _answers(evidence: Evidence, version: str) -> RequestCounts:
    """Return the answers that began or failed, of all servers of a version."""
    answers = RequestCounts()
    for server in evidence.of_version(version).values():
        answered = sum(server.first_token) + server.failures
        most = max(_MIN_COUNTED_FAILURES, answered // _COUNTED_PART_DIVISOR)
        failed = min(server.failures, most)
        answers = answers.plus(RequestCounts(answered, failed))
    return answers


def _first_tokens(evidence: Evidence, version: str) -> tuple[int, ...]:
    """Return the times to the first token of all servers of a version."""
    empty = ServerEvidence('').first_token
    servers = evidence.of_version(version).values()
    return _sum_histograms(empty, *(server.first_token for server in servers))


def _sum_histograms(*histograms: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(map(sum, zip(*histograms, strict=True)))


def _with_recent(
    recent: tuple[float, ...], added: tuple[int, ...]
) -> tuple[float, ...]:
    """Return a histogram of recent answers; earlier ones lose weight."""
    kept = max(_RECENT_STARTS - sum(added), 0)
    scale = min(1, kept / max(sum(recent), 1))
    return tuple(
        scale * before + count
        for before, count in zip(recent, added, strict=True)
    )
