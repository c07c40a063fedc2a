"""Datagrams about parts of prompts; times are ages, as clocks differ."""

import dataclasses

__all__ = ['CrashReport', 'PartStarted', 'PartSuspected']


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """
    A server was lost before it began an answer.

    :param part: part of the prompt that other requests may share.
    :param companions: other such parts of the prompt; those are left out on
        which the sender saw an answer begin.
    :param server: name of the server.
    :param failure_domain: failure domain of the server, empty if unknown.
    :param request: id of the request.
    :param lasted_s: seconds from sending the request to the loss.
    :param age_s: seconds since the loss.
    """

    part: str
    companions: tuple[str, ...]
    server: str
    failure_domain: str
    request: str
    lasted_s: float
    age_s: float = 0


@dataclasses.dataclass(frozen=True)
class PartSuspected:
    """
    One more crash may condemn a part: tell when answers on it begin.

    :param part: id of the part.
    """

    part: str


@dataclasses.dataclass(frozen=True)
class PartStarted:
    """
    An answer on a part began.

    :param part: id of the part.
    :param age_s: seconds since the answer began.
    """

    part: str
    age_s: float = 0
