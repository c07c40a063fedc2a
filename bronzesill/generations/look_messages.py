"""Messages on the choice of the server that goes on with a generation."""

from __future__ import annotations

import dataclasses

__all__ = ['ChooseServer', 'LookElsewhere', 'LookedElsewhere']


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
    """

    attempt: int
    candidate: str
    is_alive: bool
    is_shared: bool = False
