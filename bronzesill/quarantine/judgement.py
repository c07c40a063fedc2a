"""When a suspect is watched, held back and blocked; does no I/O."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from .evidence import Crash, Evidence, EvidenceTable
from .messages import CrashReport

__all__ = ['Judge', 'Judgement', 'Verdict', 'WatchedSuspects']

#: Suspects whose last answer is remembered.
_MAX_STARTED = 4096
#: A suspect is watched for this long.
_WATCH_S = 60.0
#: Time for which a suspect is kept from the last server of its service.  The
#: servers that it may have crashed are back by then.
_HOLD_S = 6.0
#: Time for answers that began elsewhere to be told before a judgement.
_SETTLE_S = 0.05
#: Starts of answers to one suspect are told no more often than this.
_START_INTERVAL_S = 0.3


class Verdict(enum.Enum):
    """What to do about a suspect."""

    NOTHING = 'nothing'
    ASK = 'ask'
    WAIT = 'wait'
    BLOCK = 'block'


@dataclasses.dataclass(frozen=True)
class Judgement:
    """
    Result of judging a suspect.

    ``ASK``: ask all daemons whether answers to it begin, then judge again.
    ``WAIT``: judge again, as their answers may be on their way.

    :param verdict: what to do.
    :param evidence: evidence that it rests on.
    :param wait_s: seconds until the next judgement, 0 for none.
    """

    verdict: Verdict
    evidence: Evidence
    wait_s: float = 0


class Judge:
    """Evidence of a daemon that collects it; all times on its clock."""

    def __init__(self) -> None:
        self._table = EvidenceTable()
        self._asked_at_s: dict[str, float] = {}

    def evidence(self, suspect: str) -> Evidence:
        """Return the evidence against a suspect."""
        return self._table.evidence(suspect)

    def add_crash(self, report: CrashReport, now_s: float) -> Judgement:
        """Add a report and judge its suspect."""
        at_s = now_s - report.age_s
        crash = Crash(
            report.server,
            report.request,
            at_s,
            frozenset(report.companions),
            at_s - report.lasted_s,
            report.failure_domain,
        )
        self._table = self._table.with_crash(report.suspect, crash)
        return self.judge(report.suspect, now_s)

    def add_start(self, suspect: str, started_at_s: float) -> Evidence:
        """Add that an answer began; return what is left of the evidence."""
        self._table = self._table.with_start(suspect, started_at_s)
        return self._table.evidence(suspect)

    def judge(self, suspect: str, now_s: float) -> Judgement:
        """Judge a suspect by the evidence so far."""
        evidence = self._table.evidence(suspect)
        if not evidence.is_suspected:
            return Judgement(Verdict.NOTHING, evidence)
        asked_at_s = self._asked_at_s.get(suspect, -math.inf)
        if evidence.last_crash_at_s > asked_at_s:
            return self._ask(suspect, evidence, now_s)
        if not evidence.is_conclusive:
            return Judgement(Verdict.NOTHING, evidence)
        wait_s = asked_at_s + _SETTLE_S - now_s
        if wait_s > 0:
            return Judgement(Verdict.WAIT, evidence, wait_s)
        return Judgement(Verdict.BLOCK, evidence)

    def _ask(self, suspect: str, evidence: Evidence, now_s: float) -> Judgement:
        self._asked_at_s = {
            known: at_s
            for known, at_s in self._asked_at_s.items()
            if now_s < at_s + _WATCH_S
        }
        self._asked_at_s[suspect] = now_s
        wait_s = _SETTLE_S if evidence.is_conclusive else 0
        return Judgement(Verdict.ASK, evidence, wait_s)


class WatchedSuspects:
    """Answers that began at one daemon, and suspects to be told of."""

    def __init__(self) -> None:
        self._started_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._watched_since_s: dict[str, float] = {}
        self._told_at_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no suspect is watched."""
        return not self._watched_since_s

    def has_started(self, suspect: str) -> bool:
        """Return whether an answer to a suspect began here."""
        return suspect in self._started_at_s

    def start_age_s(self, suspect: str, now_s: float) -> float:
        """Return how long ago an answer to a suspect last began here."""
        return now_s - self._started_at_s[suspect]

    def record_start(self, suspect: str, now_s: float) -> bool:
        """Record that an answer began; return whether to tell of it."""
        self._started_at_s[suspect] = now_s
        self._started_at_s.move_to_end(suspect)
        if len(self._started_at_s) > _MAX_STARTED:
            self._started_at_s.popitem(last=False)
        since_s = self._watched_since_s.get(suspect)
        return since_s is not None and now_s < since_s + _WATCH_S

    def watch(self, suspect: str, now_s: float) -> None:
        """Watch a suspect from now on."""
        self._watched_since_s = {
            known: since_s
            for known, since_s in self._watched_since_s.items()
            if now_s < since_s + _WATCH_S
        }
        self._watched_since_s[suspect] = now_s

    def may_tell(self, suspect: str, now_s: float) -> bool:
        """Return whether the last start was told long enough ago."""
        told_at_s = self._told_at_s.get(suspect)
        if told_at_s is not None and now_s < told_at_s + _START_INTERVAL_S:
            return False
        self._told_at_s = {
            known: at_s
            for known, at_s in self._told_at_s.items()
            if now_s < at_s + _START_INTERVAL_S
        }
        self._told_at_s[suspect] = now_s
        return True

    def is_held(self, suspect: str, now_s: float) -> bool:
        """Return whether a suspect must not risk the last server."""
        since_s = self._watched_since_s.get(suspect)
        if since_s is None or now_s > since_s + _HOLD_S:
            return False
        started_at_s = self._started_at_s.get(suspect)
        return started_at_s is None or started_at_s < since_s
