"""Lookup of the work of servers, as far as this host knows it."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable

from ..routing import ServerTracker
from .messages import Event, LookedElsewhere, ServerChosen, TimerFired
from .server_activity import ServerActivity
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
                and state.is_memory_begun
            ),
            default=-math.inf,
        )

    def find(
        self, server: str, observer: GenerationState
    ) -> ServerActivity | None:
        """
        Return the activity of a server, None if it is not looked up.

        :param server: name of the server.
        :param observer: generation that asks; its own stream is left out.
        """
        if not self.is_known_for(server):
            return None
        now_s = asyncio.get_running_loop().time()
        uses = self._tracker.fleet_use.totals_by_server(now_s)
        view = self._tracker.view(server, now_s, uses.get(server))
        is_own = (
            observer.phase is Phase.STREAMING
            and observer.server == server
            and not observer.is_memory_begun
        )
        others = view.own_prefilling + view.others_prefilling - int(is_own)
        return ServerActivity(
            known_at_s=now_s,
            progress_at_s=self.progress_at_s(server, observer),
            prefilling=max(others, 0),
            slowdown=self._tracker.speeds.slowdown(server, now_s),
            speed=self._tracker.speeds.relative_speed(server),
        )

    def inform(self, event: Event, observer: GenerationState) -> Event:
        """
        Return an event that contains the activity of the servers it is about.

        :param event: event to process.
        :param observer: generation that processes it.
        """
        match event:
            case TimerFired() if observer.phase is Phase.STREAMING:
                activity = self.find(observer.server, observer)
                return dataclasses.replace(event, activity=activity)
            case ServerChosen():
                activity = self.find(event.server, observer)
                return dataclasses.replace(event, activity=activity)
            case LookedElsewhere():
                return self.inform_look(event, observer)
            case _:
                return event

    def inform_look(
        self, event: LookedElsewhere, observer: GenerationState
    ) -> LookedElsewhere:
        """
        Return the result of a look with the activity of both servers.

        :param event: result of the look.
        :param observer: generation that looked.
        """
        return dataclasses.replace(
            event,
            activity=self.find(observer.server, observer),
            candidate_activity=self.find(event.candidate, observer),
        )
