"""Datagrams about suspects; times are ages, as clocks differ."""

import dataclasses

__all__ = ['BlockNotice', 'CrashReport', 'SuspectStarted', 'Suspected']


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """
    A server ended before it began an answer.

    :param suspect: what may be the cause.
    :param companions: parts of the prompt that may be it too; those are left
        out on which the sender saw an answer begin.
    :param server: name of the server.
    :param failure_domain: failure domain of the server, empty if unknown.
    :param request: identity of the request.
    :param lasted_s: seconds from sending the request to the loss.
    :param age_s: seconds since the loss.
    """

    suspect: str
    companions: tuple[str, ...]
    server: str
    failure_domain: str
    request: str
    lasted_s: float
    age_s: float = 0


@dataclasses.dataclass(frozen=True)
class Suspected:
    """
    One more crash may condemn a suspect: tell when answers to it begin.

    :param suspect: what may be the cause.
    """

    suspect: str


@dataclasses.dataclass(frozen=True)
class SuspectStarted:
    """
    An answer to a suspect began.

    :param suspect: what answers were refused for, or may be.
    :param age_s: seconds since the answer began.
    """

    suspect: str
    age_s: float = 0


@dataclasses.dataclass(frozen=True)
class BlockNotice:
    """
    A block or its end, ahead of gossip.

    :param text: the record, as in its fact.
    """

    text: str
