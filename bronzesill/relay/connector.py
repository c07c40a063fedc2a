"""Opens connections to servers, through a peer if the path is cut."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from random import Random

from ..upstream import (
    DirectConnector,
    Purpose,
    Reach,
    RequestNotSent,
    Target,
    UpstreamConnection,
)
from ..utils import PartLogger
from ..wire import MessageRegistry
from .asking import PeerAsker, abandon
from .paths import PathTable, RelayPeer

__all__ = ['RelayConnector']

#: Time for a direct connection until a peer is asked as well.
_HEAD_START_S = 0.06
_CHECK_TIMEOUT_S = 0.15
#: Time for which it holds that only a peer reaches a server.
_CHECK_VALID_S = 0.3
#: Interval of checks of a server that does not answer.
_CHECK_EACH_S = 1.0
_HEAL_INTERVAL_S = 0.5
#: Time without a use of a server after which its path is not tried any more.
_UNUSED_S = 15.0
#: Servers of which the times of checks are kept.
_MAX_NOTED = 1000

_log = PartLogger('relay')


class RelayConnector:
    """
    Connects directly, or through another host while the path is cut.

    :param host: name of this host.
    :param direct: opens direct connections.
    :param registry: registered message types.
    :param list_peers: returns the other live hosts.
    :param random: generator for the choice of peers and for jitter.
    """

    def __init__(
        self,
        host: str,
        direct: DirectConnector,
        registry: MessageRegistry,
        list_peers: Callable[[], tuple[RelayPeer, ...]],
        random: Random,
    ) -> None:
        self.paths = PathTable()
        #: Connections by outcome: opened, refused, unreachable, lost.
        self.counts: Counter[str] = Counter()
        #: Called with a server that this host reaches again.
        self.on_reached: Callable[[str], object] = _ignore
        #: Called with each outcome.
        self.on_outcome: Callable[[str], object] = _ignore
        #: Receives connections that nobody waits for any more.
        self.on_spare: Callable[[Target, UpstreamConnection], None] = _close
        self._direct = direct
        self._random = random
        self._asker = PeerAsker(
            host, registry, list_peers, self.paths, self._count, random
        )
        self._used_at_s_by_target: dict[Target, float] = {}
        self._healing_by_target: dict[Target, asyncio.Task[None]] = {}
        self._checks_by_target: dict[Target, asyncio.Task[Reach]] = {}
        self._relayed_at_s_by_target: dict[Target, float] = {}
        self._checked_at_s_by_target: dict[Target, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def connect(
        self, target: Target, timeout_s: float, purpose: Purpose = Purpose.CALL
    ) -> UpstreamConnection:
        """
        Open a connection, through a peer if need be.

        :param target: server to connect to.
        :param timeout_s: seconds until a direct attempt fails.
        :param purpose: what the connection is for.
        :raises RequestNotSent: neither this host nor a peer connected.
        """
        if self.paths.is_cut(target.name):
            self._used_at_s_by_target[target] = _now_s()
            return await self._asker.connect(target)
        direct = asyncio.create_task(
            self._direct.connect(target, timeout_s, purpose)
        )
        try:
            await asyncio.wait((direct,), timeout=_HEAD_START_S)
        except asyncio.CancelledError:
            self._learn_from(target, direct)
            raise
        if direct.done():
            return await self._take_direct(target, direct)
        return await self._race(target, direct)

    def may_reuse(self, target: Target, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection may carry another request."""
        relayed_by = connection.relayed_by
        if relayed_by and self._asker.is_leaving(relayed_by):
            return False
        return self.paths.may_reuse(
            target.name,
            is_relayed=connection.is_relayed,
            received_at_s=connection.received_at_s,
        )

    async def check(self, target: Target) -> Reach:
        """
        Find out who reaches a server; checks of one server run once.

        :param target: server to connect to.
        """
        found_at_s = self._relayed_at_s_by_target.get(target, 0)
        if _now_s() - found_at_s < _CHECK_VALID_S:
            return Reach.PEER
        check = self._checks_by_target.get(target)
        if check is None:
            check = asyncio.create_task(self._find_reach(target))
            self._checks_by_target[target] = check
            check.add_done_callback(
                lambda _: self._checks_by_target.pop(target, None)
            )
        return await asyncio.shield(check)

    async def is_cut(self, target: Target) -> bool:
        """
        Return whether only another host reaches a server.

        :param target: server to connect to.
        """
        if self.paths.is_cut(target.name):
            return True
        now_s = _now_s()
        if now_s - self._checked_at_s_by_target.get(target, 0) < _CHECK_EACH_S:
            return False
        if len(self._checked_at_s_by_target) > _MAX_NOTED:
            self._checked_at_s_by_target.clear()
        self._checked_at_s_by_target[target] = now_s
        return await self.check(target) is Reach.PEER

    def is_known_cut(self, target: Target) -> bool:
        """Return whether it is known that only another host reaches it."""
        return self.paths.is_cut(target.name)

    def find_relay(self) -> str:
        """Return a host through which this one reaches servers, if any."""
        return self._asker.find_relay()

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all other servers."""
        self.paths.keep_only(servers)
        for by_target in (
            self._used_at_s_by_target,
            self._relayed_at_s_by_target,
            self._checked_at_s_by_target,
        ):
            for target in tuple(by_target):
                if target.name not in servers:
                    by_target.pop(target)

    def close(self) -> None:
        """Cancel all tasks."""
        for task in (
            *self._tasks,
            *self._healing_by_target.values(),
            *self._checks_by_target.values(),
        ):
            task.cancel()

    async def _take_direct(
        self, target: Target, direct: asyncio.Task[UpstreamConnection]
    ) -> UpstreamConnection:
        """Return the direct connection; if it failed, one through a peer."""
        try:
            connection = await direct
        except RequestNotSent as error:
            failure = error
        else:
            self._mark_open(target)
            return connection
        try:
            connection = await self._asker.connect(target)
        except RequestNotSent:
            self._begin_healing(target)
            raise failure from None
        self._mark_cut(target)
        return connection

    async def _race(
        self, target: Target, direct: asyncio.Task[UpstreamConnection]
    ) -> UpstreamConnection:
        relayed = asyncio.create_task(self._asker.connect(target))
        winner: asyncio.Task[UpstreamConnection] | None = None
        try:
            winner = await self._find_winner(target, direct, relayed)
            return winner.result()
        finally:
            if winner is not relayed:
                abandon(relayed)
            if winner is not direct:
                self._learn_from(target, direct, is_served=winner is relayed)

    async def _find_winner(
        self,
        target: Target,
        direct: asyncio.Task[UpstreamConnection],
        relayed: asyncio.Task[UpstreamConnection],
    ) -> asyncio.Task[UpstreamConnection]:
        await asyncio.wait(
            (direct, relayed), return_when=asyncio.FIRST_COMPLETED
        )
        if not direct.done() and relayed.exception() is None:
            return relayed
        await asyncio.wait((direct,))
        error = direct.exception()
        if error is None:
            self._mark_open(target)
            return direct
        await asyncio.wait((relayed,))
        if relayed.exception() is not None:
            self._begin_healing(target)
            raise error
        self._mark_cut(target)
        return relayed

    def _learn_from(
        self,
        target: Target,
        direct: asyncio.Task[UpstreamConnection],
        *,
        is_served: bool = False,
    ) -> None:
        """
        Let a direct attempt go on that nobody waits for.

        :param target: server to connect to.
        :param direct: the attempt.
        :param is_served: whether a peer has reached the server meanwhile.
        """
        task = asyncio.create_task(self._learn(target, direct, is_served))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn(
        self,
        target: Target,
        direct: asyncio.Task[UpstreamConnection],
        is_served: bool,
    ) -> None:
        try:
            connection = await direct
        except RequestNotSent:
            if is_served:
                self._mark_cut(target)
            return
        self._mark_open(target)
        self.on_spare(target, connection)

    async def _find_reach(self, target: Target) -> Reach:
        if not self.paths.is_cut(target.name):
            try:
                connection = await self._direct.connect(
                    target, _CHECK_TIMEOUT_S, Purpose.PROBE
                )
            except RequestNotSent:
                return await self._find_relay(target)
            self.on_spare(target, connection)
            return Reach.DIRECT
        return await self._find_relay(target)

    async def _find_relay(self, target: Target) -> Reach:
        try:
            connection = await self._asker.connect(target)
        except RequestNotSent:
            return Reach.NONE
        self._mark_cut(target)
        self._relayed_at_s_by_target[target] = _now_s()
        self.on_spare(target, connection)
        return Reach.PEER

    def _count(self, outcome: str) -> None:
        self.counts[outcome] += 1
        self.on_outcome(outcome)

    def _mark_open(self, target: Target) -> None:
        lasted_s = self.paths.mark_open(target.name, _now_s())
        if lasted_s is not None:
            _log.event(
                'path_healed', server=target.name, lasted_s=round(lasted_s, 3)
            )

    def _mark_cut(self, target: Target) -> None:
        if not self.paths.mark_cut(target.name, _now_s()):
            return
        _log.event(
            'path_cut', server=target.name, cut=len(self.paths.cut_servers)
        )
        self._begin_healing(target)

    def _begin_healing(self, target: Target) -> None:
        self._used_at_s_by_target[target] = _now_s()
        if target not in self._healing_by_target:
            task = asyncio.create_task(self._heal(target))
            self._healing_by_target[target] = task
            task.add_done_callback(
                lambda _: self._healing_by_target.pop(target, None)
            )

    async def _heal(self, target: Target) -> None:
        """Try the direct path, one attempt at a time, until it is open."""
        while _now_s() - self._used_at_s_by_target.get(target, 0) < _UNUSED_S:
            await asyncio.sleep(
                _HEAL_INTERVAL_S * (0.5 + self._random.random())
            )
            try:
                connection = await self._direct.connect(
                    target, _CHECK_TIMEOUT_S, Purpose.RELAY
                )
            except RequestNotSent:
                continue
            self._mark_open(target)
            self.on_reached(target.name)
            self.on_spare(target, connection)
            return
        # A server that nobody uses is tried anew when it is used again.
        self.paths.mark_open(target.name, _now_s())
        self._used_at_s_by_target.pop(target, None)


def _close(target: Target, connection: UpstreamConnection) -> None:
    """Close a spare connection; the default."""
    connection.close()


def _ignore(name: str) -> None:
    """Ignore an outcome or a server; the default of callbacks."""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
