"""Verdict on what was seen during a soak, by the platform's rules."""

from __future__ import annotations

import dataclasses
import enum

from .bounds import APPLY_S, CONTACT_S, GRACE_S, LOSS_SLACK_S, RECOVERY_S
from .observations import Answer, Observations, RequestKind, Run, Sent, Stop
from .shares import (
    MIN_REQUESTS,
    describe_unfair_shares,
    describe_unserved_urgent,
)

__all__ = ['Breach', 'End', 'classify', 'find_breaches', 'stop_of']

_HTTP_OK = 200
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Requests sent until then may end with their server at work.
_EARLY_S = 3.0
#: Part of the grace period at whose end work may be cut.
_LAST_PART = 6
_AFTER_GRACE_S = 1.0
_CONFIGURATION_S = APPLY_S + 1
_USED_TIME_SHARE = 0.7
_MAX_CUT_RATIO = 3
_MAX_KEPT_CUTS = 3
_RECOVERED_SHARE = 0.25


class End(enum.Enum):
    """How a request ended."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CROSSED = 'crossed'
    TIMED_OUT = 'timed out'
    CUT = 'cut'
    CUT_AT_WORK = 'cut, at work'
    CUT_DISRUPTED = 'cut, disrupted'
    CUT_UNPLANNED = 'cut, no stop'


@dataclasses.dataclass(frozen=True)
class Breach:
    """
    A broken rule.

    :param rule: name of the rule.
    :param request_id: id of the request, empty if it is not about one.
    :param text: what was seen.
    """

    rule: str
    request_id: str
    text: str


def stop_of(seen: Observations, sent: Sent, answer: Answer) -> Stop | None:
    """Return the stop of the request's host beside which the request ran."""
    for stop in seen.stops:
        if stop.host == sent.host and (
            sent.sent_at_s <= stop.exit_at_s
            and stop.signal_at_s <= answer.ended_at_s
            and sent.sent_at_s <= stop.signal_at_s + GRACE_S + _AFTER_GRACE_S
        ):
            return stop
    return None


def classify(seen: Observations, sent: Sent, answer: Answer) -> End:
    """Return how a request ended; only ``CUT`` is a loss."""
    if answer.is_complete:
        return _classify_complete(answer)
    runs = seen.runs_by_id.get(sent.request_id, ())
    is_passed_on = sent.request_id in seen.passed_on
    waited_s = answer.ended_at_s - sent.sent_at_s
    stop = stop_of(seen, sent, answer)
    # A process that was never ready had not read what waited for it.
    is_unread = stop is not None and not stop.was_ready
    if not is_passed_on and (is_unread or waited_s <= LOSS_SLACK_S):
        return End.CROSSED
    if answer.ended_at_s - sent.began_at_s >= sent.timeout_s:
        return End.TIMED_OUT
    if _server_broke_off(seen, runs, answer) or _is_disrupted(
        seen, sent, answer
    ):
        return End.CUT_DISRUPTED
    if stop is None:
        return _classify_beside_change(seen, sent, answer)
    if _was_at_work(stop, sent, runs):
        return End.CUT_AT_WORK
    return End.CUT


def _classify_complete(answer: Answer) -> End:
    if answer.status in _NOT_RUN_STATUSES:
        return End.REFUSED
    if answer.status in {_BAD_GATEWAY, _GATEWAY_TIMEOUT}:
        return End.UNKNOWN
    return End.WHOLE


def _server_broke_off(
    seen: Observations, runs: tuple[Run, ...], answer: Answer
) -> bool:
    """Return whether the last server of a request was killed at its work."""
    if not runs:
        return False
    last = max(runs, key=lambda run: run.began_at_s)
    return any(
        name == last.server and last.began_at_s <= at_s <= answer.ended_at_s
        for name, at_s in seen.broken_servers
    )


def _is_disrupted(seen: Observations, sent: Sent, answer: Answer) -> bool:
    from_s = sent.sent_at_s - CONTACT_S
    return any(
        first_s <= answer.ended_at_s and last_s >= from_s
        for first_s, last_s in seen.disruptions
    )


def _classify_beside_change(
    seen: Observations, sent: Sent, answer: Answer
) -> End:
    """Judge a cut without a stop; it is a loss beside SIGHUP."""
    for host, at_s in seen.reloads:
        is_reloaded = host == sent.host and answer.ended_at_s >= at_s
        if is_reloaded and sent.sent_at_s <= at_s + APPLY_S:
            return End.CUT
    return End.CUT_UNPLANNED


def _was_at_work(stop: Stop, sent: Sent, runs: tuple[Run, ...]) -> bool:
    """Return whether a server worked late on a request that was early."""
    last_part_s = stop.signal_at_s + GRACE_S * (1 - 1 / _LAST_PART)
    is_early = sent.sent_at_s <= stop.signal_at_s + _EARLY_S
    return is_early and any(
        run.ended_at_s >= last_part_s
        and run.began_at_s <= stop.signal_at_s + GRACE_S
        for run in runs
    )


def find_breaches(seen: Observations) -> tuple[Breach, ...]:
    """Return all broken rules."""
    breaches: list[Breach] = []
    for sent, answer in seen.answers_by_request.items():
        runs = seen.runs_by_id.get(sent.request_id, ())
        breaches.extend(_judge_request(seen, sent, answer, len(runs)))
    breaches.extend(_judge_calm_cuts(seen))
    breaches.extend(_judge_recovery(seen))
    breaches.extend(
        Breach('PRIORITY', '', text) for text in describe_unserved_urgent(seen)
    )
    breaches.extend(
        Breach('FAIR', '', text) for text in describe_unfair_shares(seen)
    )
    return tuple(breaches)


def _judge_request(
    seen: Observations, sent: Sent, answer: Answer, run_count: int
) -> list[Breach]:
    faults: list[tuple[str, str]] = []
    if classify(seen, sent, answer) is End.CUT:
        faults.append(('LOST', 'no whole answer around planned work'))
    if sent.kind is RequestKind.ORDER:
        faults.extend(_judge_order(answer, run_count))
    faults.extend(_judge_body(sent, answer))
    return [Breach(rule, sent.request_id, text) for rule, text in faults]


def _judge_order(answer: Answer, run_count: int) -> list[tuple[str, str]]:
    if run_count > 1:
        return [('TWICE', f'ran {run_count} times')]
    if run_count and answer.is_complete and answer.status in _NOT_RUN_STATUSES:
        return [('REFUSED', f'answered {answer.status} and ran')]
    return []


def _judge_body(sent: Sent, answer: Answer) -> list[tuple[str, str]]:
    if answer.status != _HTTP_OK:
        if answer.has_signature:
            return [('MIXED', f'status {answer.status} bears a signature')]
        return []
    if not answer.has_signature:
        return [('MIXED', 'success without a signature')]
    rule = 'ORDER' if sent.kind is RequestKind.STREAM else 'MIXED'
    if not answer.is_prefix:
        return [(rule, "the body is not the server's")]
    if answer.is_complete and not answer.is_whole:
        return [(rule, 'the answer ended early and looks complete')]
    return []


def _judge_calm_cuts(seen: Observations) -> list[Breach]:
    """Judge cuts without a stop: kept connections and configurations."""
    cuts = [
        (sent, answer)
        for sent, answer in seen.answers_by_request.items()
        if classify(seen, sent, answer) is End.CUT_UNPLANNED
    ]
    kept = [
        sent.request_id
        for sent, _ in cuts
        if sent.is_kept and sent.request_id in seen.passed_on
    ]
    breaches = _judge_changes(seen, cuts)
    if len(kept) > _MAX_KEPT_CUTS:
        text = f'{len(kept)} cut on kept connections'
        breaches.append(Breach('LOST', kept[0], text))
    return breaches


def _judge_changes(
    seen: Observations, cuts: list[tuple[Sent, Answer]]
) -> list[Breach]:
    """Judge whether more is cut beside configurations than at other times."""
    beside = [
        sent.request_id
        for sent, answer in cuts
        if _is_beside_configuration(seen, sent, answer)
    ]
    beside_s = len(seen.configured_at_s) * _CONFIGURATION_S
    other_s = max(_duration_s(seen) - beside_s, 1)
    other_rate = (len(cuts) - len(beside)) / other_s
    if beside and len(beside) / beside_s > _MAX_CUT_RATIO * other_rate:
        text = f'{len(beside)} cut beside configurations'
        return [Breach('LOST', beside[0], text)]
    return []


def _is_beside_configuration(
    seen: Observations, sent: Sent, answer: Answer
) -> bool:
    lasted_s = answer.ended_at_s - sent.sent_at_s
    return lasted_s < _USED_TIME_SHARE * sent.timeout_s and any(
        at_s <= answer.ended_at_s <= at_s + _CONFIGURATION_S
        for at_s in seen.configured_at_s
    )


def _duration_s(seen: Observations) -> float:
    ends = [answer.ended_at_s for answer in seen.answers_by_request.values()]
    starts = [sent.sent_at_s for sent in seen.answers_by_request]
    return max(ends, default=0) - min(starts, default=0)


def _judge_recovery(seen: Observations) -> list[Breach]:
    """Judge the share served later than the bound after each return."""
    breaches = []
    for back_at_s in seen.fleet_returns_at_s:
        late = [
            answer.is_whole
            for sent, answer in seen.answers_by_request.items()
            if sent.sent_at_s > back_at_s + RECOVERY_S
        ]
        served = sum(late)
        if len(late) >= MIN_REQUESTS and served < _RECOVERED_SHARE * len(late):
            text = f'{served} of {len(late)} served'
            breaches.append(Breach('RECOVER', '', text))
    return breaches
