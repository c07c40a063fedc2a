"""Detects restarted backend servers before the store lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..config import RegisteredServer
from ..membership import Member
from ..routing import LastActivity, ServerRestart, ServerTracker
from ..upstream import (
    AnswerError,
    AnswerHead,
    ConnectionLease,
    ConnectionPool,
    HealthDialect,
    Purpose,
    RequestNotSent,
    Target,
    uptime_s,
)
from ..utils import stable_hash
from .hosted_store_state import HostedStoreState

__all__ = ['CHECK_INTERVAL_S', 'AskingRanks', 'RestartDetector']

#: Well below the gap between two checks that counts as a pause of the process.
CHECK_INTERVAL_S = 0.12
_PROBE_TIMEOUT_S = 0.5
_FAILURE_WINDOW_S = 2.0
#: A restart is found if the server answered a question that was sent so shortly
#: before its end; it takes a second or more to start again.
_QUESTION_INTERVAL_S = 0.4
#: Hosts that ask each server, and while the store lists no restarted ones.
_ASKING_HOSTS = 1
_ASKING_HOSTS_IN_OUTAGE = 2
_MAX_IDLE_S = 4.0
_HTTP_OK = 200
_MAX_HEALTH_BYTES = 64 * 1024
#: Ranks kept at a time; restarted servers have new names.
_MAX_RANKS = 4096


class RestartDetector:
    """
    Task that probes the addresses of servers that failed recently.

    A restarted server keeps its address but has another name, with which it
    answers the health check.  Only an answer to a question tells that a server
    was running when it was asked; a server that has answered no request of
    late, as its streams are long, is asked by one host or two.

    :param store_state: configuration and listed servers.
    :param tracker: state of the backend servers.
    :param pool: pool of connections to backend servers.
    :param dialect: encoding of health checks.
    :param reuse_s: seconds for which the address of an ended server is not
        given to another service.
    :param rank: returns the rank of this host among those that may ask a
        server, 0 for the first.
    """

    def __init__(
        self,
        store_state: HostedStoreState,
        tracker: ServerTracker,
        pool: ConnectionPool,
        dialect: HealthDialect,
        reuse_s: float,
        rank: Callable[[str], int],
    ) -> None:
        self._store_state = store_state
        self._tracker = tracker
        self._pool = pool
        self._dialect = dialect
        self._activity = LastActivity(reuse_s)
        self._rank = rank
        self._probing: set[str] = set()
        #: Servers that are being asked, and uptime of the last question.
        self._asking: set[str] = set()
        self._asked_at_s: dict[str, float] = {}
        #: Uptime at which a question to a server got no answer.
        self._unanswered_at_s: dict[str, float] = {}

    def record_answer(self, server: str, head: AnswerHead) -> None:
        """Record that a server answered a request."""
        self._activity = self._activity.with_activity(server, head.asked_at_s)

    def handle_other_server(self, server: str) -> None:
        """
        Handle an answer of another server at a server's address.

        If this may be a restart of the same server, its address is probed;
        otherwise the server is removed.
        """
        if self._activity.may_be_restart(server, uptime_s()):
            now_s = asyncio.get_running_loop().time()
            self._tracker.suspect(server, now_s)
        else:
            self._store_state.remove_replaced_server(server)

    async def run(self) -> None:
        """Probe the addresses of failed servers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._activity = self._activity.with_check(uptime_s())
                for server in self._probe_candidates():
                    group.create_task(self._probe(server))
                for server in self._servers_to_ask():
                    group.create_task(self._ask(server))

    def _recently_failed(self) -> tuple[str, ...]:
        now_s = asyncio.get_running_loop().time()
        return self._tracker.failed_since(now_s - _FAILURE_WINDOW_S)

    def _probe_candidates(self) -> tuple[str, ...]:
        self._unanswered_at_s = _since(
            uptime_s() - _FAILURE_WINDOW_S, self._unanswered_at_s
        )
        failed = {*self._recently_failed(), *self._unanswered_at_s}
        candidates = self._activity.restart_candidates(failed, uptime_s())
        return tuple(
            server for server in candidates if server not in self._probing
        )

    def _servers_to_ask(self) -> tuple[str, ...]:
        """Return the servers that this host asks whether they are running."""
        self._asked_at_s = _since(
            uptime_s() - _QUESTION_INTERVAL_S, self._asked_at_s
        )
        listing = self._store_state.listing
        askers = (
            _ASKING_HOSTS_IN_OUTAGE
            if listing.is_store_unreachable
            else _ASKING_HOSTS
        )
        candidates = (
            server
            for server, listed in listing.listed_by_name.items()
            if not listed.is_leaving and self._rank(server) < askers
        )
        return tuple(server for server in candidates if self._is_due(server))

    def _is_due(self, server: str) -> bool:
        """Return whether nothing was heard of a server for an interval."""
        waiting = (self._asking, self._asked_at_s, self._unanswered_at_s)
        if any(server in known for known in waiting):
            return False
        due_s = uptime_s() - _QUESTION_INTERVAL_S
        return not self._activity.is_active_since(server, due_s)

    async def _ask(self, server: str) -> None:
        """Ask a server whether it is running, on a connection that is open."""
        listed = self._listed_for_check(server)
        if listed is None:
            return
        self._tracker.limiter.record_choice(server)
        self._asked_at_s[server] = uptime_s()
        self._asking.add(server)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                head = await self._check_running(server, listed)
        except (AnswerError, RequestNotSent, TimeoutError):
            self._unanswered_at_s[server] = uptime_s()
            return
        finally:
            self._asking.discard(server)
        if self._dialect.server(head) == server:
            self.record_answer(server, head)

    async def _probe(self, server: str) -> None:
        listed = self._listed_for_check(server)
        if listed is None:
            return
        self._tracker.limiter.record_choice(server)
        self._probing.add(server)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                answering_name = await self._fetch_server_name(server, listed)
        except (AnswerError, RequestNotSent, TimeoutError):
            return
        finally:
            self._probing.discard(server)
        is_other = answering_name not in {'', server}
        if is_other and self._activity.may_be_restart(server, uptime_s()):
            self._store_state.record_restart(
                ServerRestart(server, answering_name)
            )
            # The other hosts have no evidence of their own.
            self._tracker.on_use_changed()

    def _listed_for_check(self, server: str) -> RegisteredServer | None:
        """Return a server whose health may be checked now, else ``None``."""
        listed = self._store_state.listing.listed_by_name.get(server)
        if listed is None:
            return None
        now_s = asyncio.get_running_loop().time()
        has_path = self._store_state.health_path(listed.server.service)
        may_send = has_path and not self._tracker.wait_s(server, now_s)
        return listed if may_send else None

    async def _check_running(
        self, server: str, listed: RegisteredServer
    ) -> AnswerHead:
        target = Target(server, listed.server.address)
        lease = await self._pool.acquire(
            target, max_idle_s=_MAX_IDLE_S, purpose=Purpose.HEALTH
        )
        try:
            return await self._check_health(lease, listed)
        finally:
            lease.release()

    async def _fetch_server_name(
        self, server: str, listed: RegisteredServer
    ) -> str:
        # Pooled connections lead to the process that has ended.
        target = Target(f'next start of {server}', listed.server.address)
        lease = await self._pool.acquire_direct(target)
        try:
            head = await self._check_health(lease, listed)
        finally:
            lease.discard()
        return self._dialect.server(head) if head.status == _HTTP_OK else ''

    async def _check_health(
        self, lease: ConnectionLease, listed: RegisteredServer
    ) -> AnswerHead:
        """Send a health check and return the head of its answer."""
        path = self._store_state.health_path(listed.server.service)
        head = await lease.send(
            self._dialect.encode_health_check(path, listed.server.address)
        )
        await lease.read_all(_MAX_HEALTH_BYTES)
        return head


def _since(
    since_s: float, at_s_by_server: dict[str, float]
) -> dict[str, float]:
    """Return the entries of servers whose time is a given one or later."""
    return {
        server: at_s
        for server, at_s in at_s_by_server.items()
        if at_s >= since_s
    }


class AskingRanks:
    """
    Ranks of a host among those that may ask each server.

    A rank depends only on the names of the live hosts, so it is kept until
    they change.

    :param own_name: name of the host.
    :param list_peers: returns the other live hosts.
    """

    def __init__(
        self, own_name: str, list_peers: Callable[[], tuple[Member, ...]]
    ) -> None:
        self._own_name = own_name
        self._list_peers = list_peers
        self._peers: tuple[Member, ...] = ()
        self._peer_names: tuple[str, ...] = ()
        self._rank_by_server: dict[str, int] = {}

    def rank(self, server: str) -> int:
        """Return the rank of the host for a server, 0 for the first."""
        self._note_peers(self._list_peers())
        rank = self._rank_by_server.get(server)
        if rank is None:
            rank = _rank_to_ask(self._own_name, self._peer_names, server)
            self._keep(server, rank)
        return rank

    def _note_peers(self, peers: tuple[Member, ...]) -> None:
        if peers is self._peers:
            return
        self._peers = peers
        names = tuple(member.name for member in peers)
        if names != self._peer_names:
            self._peer_names = names
            self._rank_by_server.clear()

    def _keep(self, server: str, rank: int) -> None:
        if len(self._rank_by_server) >= _MAX_RANKS:
            self._rank_by_server.clear()
        self._rank_by_server[server] = rank


def _rank_to_ask(own_name: str, peers: tuple[str, ...], server: str) -> int:
    """Return the rank of a host by rendezvous hashing, without sorting."""
    own_weight = stable_hash(server, own_name)
    return sum(stable_hash(server, peer) > own_weight for peer in peers)
