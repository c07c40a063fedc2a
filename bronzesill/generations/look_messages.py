"""Messages on the choice of the server that goes on with a generation."""

from __future__ import annotations

import dataclasses

from .server_activity import ServerActivity

__all__ = [
    'ChooseServer',
    'LookElsewhere',
    'LookedElsewhere',
    'WaitEnded',
]


@dataclasses.dataclass(frozen=True)
class ChooseServer:
    """
    Choose the backend server of the next attempt.

    The reply is ``ServerChosen``, ``Attached``, ``NoServer`` or
    ``PlacementRefused``.

    :param excluded: servers on which an attempt of this generation was lost.
    :param is_resume: whether tokens have already been accepted.
    :param copy_holder: server that keeps a copy of the lost run's memory, empty
        for none.
    :param candidate: server that accepted a connection just now, empty for
        none.
    """

    excluded: frozenset[str]
    is_resume: bool
    copy_holder: str = ''
    candidate: str = ''


@dataclasses.dataclass(frozen=True)
class LookElsewhere:
    """
    Check whether another server accepts connections and could take over.

    The reply is ``LookedElsewhere``.

    :param attempt: number of the attempt that is silent.
    :param server: its backend server.
    :param choice: how the server of the next attempt would be chosen.
    :param has_refused: whether the silent server has just failed a probe.
    """

    attempt: int
    server: str
    choice: ChooseServer
    has_refused: bool = False


@dataclasses.dataclass(frozen=True)
class LookedElsewhere:
    """
    Result of :class:`LookElsewhere`.

    :param attempt: number of the attempt that is silent.
    :param candidate: server that accepted a connection and can take over,
        empty for none.
    :param is_alive: whether the silent server accepted a connection.
    :param is_shared: whether servers of several failure domains are silent at
        once, which is no evidence against one of them.
    :param activity: work of the silent server, None where speed is unknown.
    :param candidate_activity: work of the candidate, None likewise or without
        a candidate.
    """

    attempt: int
    candidate: str
    is_alive: bool
    is_shared: bool = False
    activity: ServerActivity | None = None
    candidate_activity: ServerActivity | None = None

    def move_s(self, cost_s: float) -> float:
        """
        Return the time from a move to the candidate until its first event.

        :param cost_s: time to read the prompt anew on an idle server, 0 if the
            candidate holds a copy.
        """
        if self.candidate_activity is None:
            return cost_s
        return self.candidate_activity.move_s(cost_s)

    @property
    def lets_wait(self) -> bool:
        """Whether the silent server is alive and the path is not suspected."""
        return self.is_alive and not self.is_shared


@dataclasses.dataclass(frozen=True)
class WaitEnded:
    """
    Count a silence that ended by itself after a look for another server.

    Only where the speed of servers is known.
    """
