"""Looks up what this host knows of the work of servers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from ..routing import ServerTracker
from .state import GenerationState, Phase

__all__ = ['ActivityLookup']


class ActivityLookup:
    """
    Activity of servers whose speed is known.

    :param tracker: load and health of the backend servers.
    :param list_states: returns the states of all generations of this daemon.
    """

    def __init__(
        self,
        tracker: ServerTracker,
        list_states: Callable[[], Iterable[GenerationState]],
    ) -> None:
        self._tracker = tracker
        self._list_states = list_states

    def is_known_for(self, server: str) -> bool:
        """Return whether the activity of a server is looked up."""
        return self._tracker.speeds.is_known_for(server)

    def progress_at_s(
        self, server: str, observer: GenerationState | None = None
    ) -> float:
        """
        Return the time of the last event on a server, minus infinity for none.

        :param server: name of the server.
        :param observer: generation whose own events are left out.
        """
        return max(
            (
                state.last_activity_at_s
                for state in self._list_states()
                if state.server == server
                and state is not observer
                and state.phase is Phase.STREAMING
                and state.is_memory_begun
            ),
            default=-math.inf,
        )
