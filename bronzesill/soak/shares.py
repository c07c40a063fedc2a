"""Shares of streams served in a burst, by priority and by account."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from .load_configuration import BULK_ROUTE, EAGER_ACCOUNT, URGENT_ROUTE
from .observations import Answer, Observations, Sent

__all__ = ['MIN_REQUESTS', 'describe_unfair_shares', 'describe_unserved_urgent']

#: Fewer requests are not judged by their share.
MIN_REQUESTS = 20
#: Urgent requests that may fail beyond the share of bulk requests.
_MAX_URGENT_FAILURES = 3
#: Requests sent until then after a burst wait behind it.
_AFTER_BURST_S = 5.0
_MIN_PART_OF_MEAN = 0.5


def describe_unserved_urgent(seen: Observations) -> Iterator[str]:
    """Yield what is wrong if bulk was served more often than urgent."""
    for burst in seen.bursts:
        by_route: dict[str, list[bool]] = defaultdict(list)
        for sent, answer in _behaving_streams(seen, burst):
            by_route[sent.route].append(answer.is_whole)
        urgent, bulk = by_route[URGENT_ROUTE], by_route[BULK_ROUTE]
        if min(len(urgent), len(bulk)) < MIN_REQUESTS:
            continue
        due = len(urgent) * sum(bulk) / len(bulk) - _MAX_URGENT_FAILURES
        if sum(urgent) < due:
            yield (
                f'{sum(urgent)} of {len(urgent)} urgent and {sum(bulk)} of '
                f'{len(bulk)} bulk requests served'
            )


def describe_unfair_shares(seen: Observations) -> Iterator[str]:
    """Yield accounts that were served less than half as often as the mean."""
    for burst in seen.bursts:
        by_account: dict[str, list[bool]] = defaultdict(list)
        for sent, answer in _behaving_streams(seen, burst):
            by_account[sent.account].append(answer.is_whole)
        share_by_account = {
            account: sum(ends) / len(ends)
            for account, ends in by_account.items()
            if len(ends) >= MIN_REQUESTS
        }
        mean = sum(share_by_account.values()) / max(len(share_by_account), 1)
        for account, share in share_by_account.items():
            if share < _MIN_PART_OF_MEAN * mean:
                yield f'{share:.2f} of {account} served, {mean:.2f} in the mean'


def _behaving_streams(
    seen: Observations, burst: tuple[float, float]
) -> Iterator[tuple[Sent, Answer]]:
    first_s, last_s = burst
    for sent, answer in seen.answers_by_request.items():
        is_in_time = first_s <= sent.sent_at_s <= last_s + _AFTER_BURST_S
        is_stream = sent.route in {URGENT_ROUTE, BULK_ROUTE}
        if is_in_time and is_stream and sent.account != EAGER_ACCOUNT:
            yield sent, answer
