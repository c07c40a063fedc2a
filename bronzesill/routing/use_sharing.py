"""
To whom a daemon reports its use of model engines.

A small fleet sends each report to all daemons.  In a large one that would
grow with the square of the fleet: there a few daemons collect the reports,
and a daemon asks one of them before it chooses a server.  Failures and
restarts of servers are rare and are still sent to all.
"""

from __future__ import annotations

import dataclasses

from ..utils import Address
from .use_reports import ServerRestart, SharedNews, UseReport, news_of

__all__ = ['SharingPeers', 'choose_recipients', 'without_heard_restarts']


@dataclasses.dataclass(frozen=True)
class SharingPeers:
    """
    Other daemons, as far as reports of use concern them.

    :param all_peers: addresses of all other live daemons.
    :param collectors: addresses of those that collect reports, without this
        daemon; empty if all daemons receive all reports.
    """

    all_peers: tuple[Address, ...]
    collectors: tuple[Address, ...] = ()


def without_heard_restarts(
    report: UseReport, heard: frozenset[ServerRestart]
) -> UseReport:
    """
    Return a report without the restarts that this daemon was told of.

    All daemons are told of a restart by the one that found it; if each told
    it again, messages would grow with the square of the fleet.

    :param report: report of this daemon.
    :param heard: restarts that other daemons reported.
    """
    found = tuple(
        restart for restart in report.restarts if restart not in heard
    )
    return dataclasses.replace(report, restarts=found)


def choose_recipients(
    report: UseReport, peers: SharingPeers, known: SharedNews
) -> tuple[Address, ...]:
    """
    Return the addresses to which a report is sent.

    :param report: report of this daemon.
    :param peers: the other daemons.
    :param known: failures and restarts that all daemons know: reported by
        others, or sent to all by this daemon before.
    """
    has_news = not news_of(report).without(known).is_empty
    if has_news or not peers.collectors:
        return peers.all_peers
    return peers.collectors
