"""Reports of evidence that daemons send to the driver of a move."""

import dataclasses
import time
from collections.abc import Iterable, Mapping

from .evidence import Evidence, ServerEvidence, bucket_of_s

__all__ = [
    'EvidenceEntry',
    'FetchMoveTotals',
    'MoveReport',
    'MoveReportReply',
    'MoveTotals',
    'Observation',
    'ObservationLog',
    'ReportTotals',
    'evidence_of',
]

_EMPTY = ServerEvidence('').first_token
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Observation:
    """
    Observation of one attempt or call, or of a part of it.

    :param subject: model or plain service.
    :param route: route of the request.
    :param server: name of the backend server.
    :param version: version that the server ran.
    :param is_end: whether the attempt or call has ended.
    :param is_failed: whether it ended with a failure.
    :param first_token_s: seconds to the first token or to the answer, none
        if not part of this observation.
    :param token_gap_s: mean seconds between tokens, none if not part of this
        observation.
    """

    subject: str
    route: str
    server: str
    version: str
    is_end: bool = False
    is_failed: bool = False
    first_token_s: float | None = None
    token_gap_s: float | None = None


@dataclasses.dataclass(frozen=True)
class EvidenceEntry:
    """
    Counts of one server on one route, with sparse histograms.

    :param route: route of the requests.
    :param server: name of the backend server.
    :param version: version that the server ran.
    :param requests: number of finished requests, including failed ones.
    :param failures: number of failed requests.
    :param first_token: histogram of the time to the first token: bucket,
        count, bucket, count and so on, without empty buckets.
    :param token_gap: histogram of the time between tokens, in the same form.
    """

    route: str
    server: str
    version: str
    requests: int
    failures: int
    first_token: tuple[int, ...] = ()
    token_gap: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class MoveReport:
    """
    Evidence of one daemon on a move since its last report.

    :param move_id: identifier of the move.
    :param sender: name of the daemon.
    :param entries: counts by route and server.
    :param sequence: number of the report, growing with each report of a
        daemon; 0 from daemons that do not number theirs.
    """

    move_id: str
    sender: str
    entries: tuple[EvidenceEntry, ...]
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class MoveReportReply:
    """
    Answer to a report.

    :param is_driver: whether the answering daemon drives the move.
    """

    is_driver: bool


@dataclasses.dataclass(frozen=True)
class FetchMoveTotals:
    """
    Request for all evidence of a daemon on a move; answered by its totals.

    :param move_id: identifier of the move.
    """

    move_id: str


@dataclasses.dataclass(frozen=True)
class MoveTotals:
    """
    All evidence of one daemon on a move, up to one of its reports.

    :param report: the evidence; its sequence is that of the last report whose
        counts are included.
    :param is_whole: whether the daemon has counted since the new version got
        its first request.
    """

    report: MoveReport
    is_whole: bool


class ObservationLog:
    """Counts of one daemon since its last report, by subject and route."""

    def __init__(self) -> None:
        self._evidence: dict[str, dict[str, Evidence]] = {}

    def add(self, observation: Observation) -> None:
        """Add an observation to the counts of its subject and route."""
        counts = ServerEvidence(
            version=observation.version,
            requests=int(observation.is_end),
            failures=int(observation.is_failed),
            first_token=_single_count(observation.first_token_s),
            token_gap=_single_count(observation.token_gap_s),
        )
        routes = self._evidence.setdefault(observation.subject, {})
        before = routes.get(observation.route, Evidence())
        routes[observation.route] = before.plus(
            Evidence({observation.server: counts})
        )

    def drain(self, subject: str) -> tuple[EvidenceEntry, ...]:
        """Return the counts of a subject and reset them."""
        return _make_entries(self._evidence.pop(subject, {}))

    def clear(self) -> None:
        """Reset all counts; those of subjects without a move are not sent."""
        self._evidence.clear()


class ReportTotals:
    """
    All that this daemon has reported on each open move.

    A daemon that begins to drive a move in its middle asks all daemons for it.

    :param daemon_name: name of this daemon.
    """

    def __init__(self, daemon_name: str) -> None:
        self._daemon_name = daemon_name
        # Derived from the time, so that numbers also grow across restarts.
        self._sequence = int(time.time() * _MS_PER_S)
        self._evidence_by_id: dict[str, dict[str, Evidence]] = {}
        self._whole_ids: set[str] = set()

    def begin(self, move_id: str, *, is_whole: bool) -> None:
        """
        Note a move that is open.

        :param move_id: identifier of the move.
        :param is_whole: whether this daemon counts from its beginning on.
        """
        if move_id in self._evidence_by_id:
            return
        self._evidence_by_id[move_id] = {}
        if is_whole:
            self._whole_ids.add(move_id)

    def make_report(
        self, move_id: str, entries: tuple[EvidenceEntry, ...]
    ) -> MoveReport:
        """Return the next report and add its counts to the totals."""
        self._sequence += 1
        totals = self._evidence_by_id.setdefault(move_id, {})
        _add_entries(totals, entries)
        return MoveReport(move_id, self._daemon_name, entries, self._sequence)

    def total(self, move_id: str) -> MoveTotals:
        """Return all evidence on a move."""
        evidence_by_route = self._evidence_by_id.get(move_id, {})
        report = MoveReport(
            move_id,
            self._daemon_name,
            _make_entries(evidence_by_route),
            self._sequence,
        )
        return MoveTotals(report, move_id in self._whole_ids)

    def keep_only(self, move_ids: Iterable[str]) -> None:
        """Forget all moves but the given ones."""
        kept = set(move_ids)
        self._whole_ids &= kept
        for move_id in tuple(self._evidence_by_id):
            if move_id not in kept:
                del self._evidence_by_id[move_id]


def evidence_of(entries: tuple[EvidenceEntry, ...]) -> dict[str, Evidence]:
    """Return the evidence in the entries of a report, by route."""
    by_route: dict[str, Evidence] = {}
    _add_entries(by_route, entries)
    return by_route


def _add_entries(
    by_route: dict[str, Evidence], entries: Iterable[EvidenceEntry]
) -> None:
    for entry in entries:
        counts = ServerEvidence(
            version=entry.version,
            requests=entry.requests,
            failures=entry.failures,
            first_token=_dense(entry.first_token),
            token_gap=_dense(entry.token_gap),
        )
        before = by_route.get(entry.route, Evidence())
        by_route[entry.route] = before.plus(Evidence({entry.server: counts}))


def _make_entries(
    by_route: Mapping[str, Evidence],
) -> tuple[EvidenceEntry, ...]:
    return tuple(
        _make_entry(route, server, counts)
        for route, evidence in by_route.items()
        for server, counts in evidence.by_server.items()
    )


def _single_count(latency_s: float | None) -> tuple[int, ...]:
    if latency_s is None:
        return _EMPTY
    counts = list(_EMPTY)
    counts[bucket_of_s(latency_s)] = 1
    return tuple(counts)


def _make_entry(
    route: str, server: str, counts: ServerEvidence
) -> EvidenceEntry:
    return EvidenceEntry(
        route=route,
        server=server,
        version=counts.version,
        requests=counts.requests,
        failures=counts.failures,
        first_token=_sparse(counts.first_token),
        token_gap=_sparse(counts.token_gap),
    )


def _sparse(histogram: tuple[int, ...]) -> tuple[int, ...]:
    pairs: list[int] = []
    for bucket, count in enumerate(histogram):
        if count:
            pairs.extend((bucket, count))
    return tuple(pairs)


def _dense(pairs: tuple[int, ...]) -> tuple[int, ...]:
    counts = list(_EMPTY)
    for bucket, count in zip(pairs[::2], pairs[1::2], strict=False):
        if 0 <= bucket < len(counts):
            counts[bucket] += count
    return tuple(counts)
