"""Observer that records attempts in the daemon's backend server tracker."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from ..routing import ServerTracker
from ..utils import Metrics
from .locations import LocationDirectory
from .messages import LossCause
from .observer import AttemptObservation, AttemptUsage
from .request import GenerationRequest
from .server_activity import MoveReason

#: Age in seconds up to which failed connections count as simultaneous.
_UNSENT_WINDOW_S = 0.6
#: Time without a token in seconds after which the path may be cut.
_QUIET_S = 0.3

__all__ = ['BookObserver']


class BookObserver:
    """
    Observer of all generations of one daemon.

    :param daemon: name of this daemon.
    :param tracker: load and health of the backend servers.
    :param directory: location records of generations.
    :param metrics: receiver of counters.
    """

    def __init__(
        self,
        daemon: str,
        tracker: ServerTracker,
        directory: LocationDirectory,
        metrics: Metrics,
    ) -> None:
        #: Callback for observations of attempts; set by the daemon.
        self.on_attempt_observed: Callable[[AttemptObservation], None] = _ignore
        self._daemon = daemon
        self._tracker = tracker
        self._directory = directory
        self._metrics = metrics
        self._token_at_s = -math.inf
        self._unsent_at_s_by_domain: dict[str, float] = {}

    def stream_opened(self, usage: AttemptUsage) -> None:
        """Count the stream and its memory on the servers it uses."""
        self._tracker.opened(usage.server)
        self._add_memory(usage, usage.tokens)

    def first_token_received(self, server: str) -> None:
        """Record that a stream on the server has produced its first token."""
        self._tracker.response_started(server)

    def pace_measured(self, server: str, gap_s: float) -> None:
        """Record the pace of a server."""
        speeds = self._tracker.speeds
        speeds.measured(server, gap_s, asyncio.get_running_loop().time())
        known = speeds.known_speeds()
        if known:
            self._metrics.gauge('speed.known_servers', len(known))
            self._metrics.gauge('speed.slowest', min(known))
            self._metrics.gauge('speed.fastest', max(known))

    def stream_closed(self, usage: AttemptUsage, *, has_begun: bool) -> None:
        """Remove the stream and its memory from the servers it uses."""
        self._tracker.closed(usage.server, has_response_started=has_begun)
        self._add_memory(usage, -usage.tokens)

    def attempt_observed(self, observation: AttemptObservation) -> None:
        """Pass an observation to the ``on_attempt_observed`` callback."""
        self._record_rates(observation)
        self.on_attempt_observed(observation)

    def attempt_lost(
        self, server: str, cause: LossCause, *, is_accepting: bool = False
    ) -> None:
        """Mark the server as suspect for a while and count the loss."""
        self._metrics.incr(f'generations.lost.{cause.value}')
        if cause is LossCause.BLOCKED or self._is_paused(server, cause):
            return
        now_s = asyncio.get_running_loop().time()
        if cause is LossCause.UNSENT and self._is_path_suspected(server, now_s):
            return
        self._tracker.suspect(server, now_s, is_alone=is_accepting)

    def run_moved(self, reason: MoveReason) -> None:
        """Count a silent run that is moved to another server."""
        self._metrics.incr(f'generations.moves.{reason.value}')

    def wait_ended(self) -> None:
        """Count a silence that ended by itself after a look."""
        self._metrics.incr('generations.waits.ended')

    def tokens_accepted(self, token_count: int, *, is_first: bool) -> None:
        """Count a generation as started when its first tokens arrive."""
        self._token_at_s = asyncio.get_running_loop().time()
        if is_first:
            self._metrics.incr('generations.started')

    def tokens_dropped(self, late: int, repeated: int) -> None:
        """Count late and repeated tokens."""
        self._metrics.incr('generations.tokens.late', late)
        self._metrics.incr('generations.tokens.repeated', repeated)

    async def may_cancel(self, request: GenerationRequest) -> bool:
        """
        Return whether no other daemon reads the same stream.

        Another daemon reads it if the location record names it as the owner.
        """
        if not request.can_reconnect:
            return True
        record = await self._directory.find(request.key)
        return record is None or record.owner == self._daemon

    def _record_rates(self, observation: AttemptObservation) -> None:
        speeds = self._tracker.speeds
        forward = observation.request.forward
        has_started = observation.first_token_s is not None
        if has_started and observation.has_prefilled and forward is not None:
            speeds.answer_began(
                observation.server,
                forward.caller.prompt_tokens,
                observation.first_token_s or 0,
                asyncio.get_running_loop().time(),
            )
        if observation.answer_events:
            speeds.answer_ended(observation.server, observation.answer_events)

    def _is_paused(self, server: str, cause: LossCause) -> bool:
        """Return whether a server said itself until when it takes nothing."""
        is_refused = cause is LossCause.REFUSED
        return is_refused and self._tracker.limiter.is_paused(server)

    def _is_path_suspected(self, server: str, now_s: float) -> bool:
        """
        Return whether the path is rather at fault than the server.

        That is if no server of several failure domains accepts connections,
        and none sends tokens.
        """
        backend = self._tracker.servers_by_name.get(server)
        if backend is None:
            return False
        unsent_at_s = self._unsent_at_s_by_domain
        unsent_at_s[backend.failure_domain] = now_s
        recent = sum(
            now_s - at_s <= _UNSENT_WINDOW_S for at_s in unsent_at_s.values()
        )
        is_quiet = now_s - self._token_at_s > _QUIET_S
        return is_quiet and recent > 1

    def _add_memory(self, usage: AttemptUsage, tokens: int) -> None:
        self._tracker.memory_changed(usage.server, tokens)
        if usage.copy_to:
            self._tracker.memory_changed(usage.copy_to, tokens)


def _ignore(observation: AttemptObservation) -> None:
    """Discard an observation; the default callback."""
