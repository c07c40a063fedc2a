"""Asks other hosts of the fleet for connections to servers."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from random import Random

from ..upstream import RequestNotSent, Target, UpstreamConnection
from ..utils import PartLogger
from ..wire import MessageRegistry
from .connections import CUT, UNREACHABLE, RelayClient, RelayOpen
from .paths import PathTable, RelayPeer

__all__ = ['PeerAsker', 'abandon']

#: Time for one peer until the next one is asked as well.
_NEXT_PEER_S = 0.08
_MAX_ASKED_AT_ONCE = 2
_ASK_TIMEOUT_S = 0.5
#: Time from the first ask of a call to its last choice of peers.
_SEARCH_LIMIT_S = 0.4
#: Reason of a peer that does not answer.
_SILENT = 'silent'

_log = PartLogger('relay')


class PeerAsker:
    """
    Opens connections to servers through other hosts.

    :param host: name of this host.
    :param registry: registered message types.
    :param list_peers: returns the other live hosts.
    :param paths: what this host knows of paths and peers.
    :param on_outcome: called with each outcome: opened, refused, unreachable,
        lost.
    :param random: generator for the choice of peers.
    """

    def __init__(
        self,
        host: str,
        registry: MessageRegistry,
        list_peers: Callable[[], tuple[RelayPeer, ...]],
        paths: PathTable,
        on_outcome: Callable[[str], object],
        random: Random,
    ) -> None:
        self._host = host
        self._registry = registry
        self._list_peers = list_peers
        self._paths = paths
        self._on_outcome = on_outcome
        self._random = random

    def is_leaving(self, name: str) -> bool:
        """Return whether a peer stops soon, which ends its connections."""
        return any(
            peer.is_leaving for peer in self._list_peers() if peer.name == name
        )

    async def connect(self, target: Target) -> UpstreamConnection:
        """
        Return a connection through the first peer that opens one.

        :raises RequestNotSent: no peer opened one.
        """
        if not self._paths.may_ask(target.name, _now_s()):
            raise RequestNotSent(f'{target.name}: no host reaches it')
        reasons: list[str] = []
        connection = await self._search(target, reasons)
        if connection is not None:
            return connection
        self._on_outcome('unreachable')
        if set(reasons) <= {UNREACHABLE}:
            self._paths.mark_unreachable(target.name, _now_s())
        raise RequestNotSent(f'{target.name}: no host reaches it')

    def find_relay(self) -> str:
        """Return a host through which this one reaches servers, if any."""
        return self._paths.find_relay(self._random, _now_s())

    async def _search(
        self, target: Target, reasons: list[str]
    ) -> UpstreamConnection | None:
        """Ask peers until one opens a connection or too many have not."""
        ends_s = _now_s() + _SEARCH_LIMIT_S
        while True:
            peers = self._paths.choose(
                target.name, self._list_peers(), self._random, _now_s()
            )
            if not peers:
                return None
            connection = await self._ask_in_turn(target, list(peers), reasons)
            if connection is not None or _now_s() > ends_s:
                return connection
            if not self._paths.may_search_on(
                peers, is_cut=CUT in reasons, now_s=_now_s()
            ):
                return None

    async def _ask_in_turn(
        self, target: Target, peers: list[RelayPeer], reasons: list[str]
    ) -> UpstreamConnection | None:
        asked: set[asyncio.Task[UpstreamConnection | None]] = set()
        connection: UpstreamConnection | None = None
        try:
            while connection is None and (peers or asked):
                if peers and len(asked) < _MAX_ASKED_AT_ONCE:
                    asked.add(
                        asyncio.create_task(
                            self._ask(target, peers.pop(0), reasons)
                        )
                    )
                done, asked = await asyncio.wait(
                    asked,
                    timeout=_NEXT_PEER_S if peers else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                connection = _first_open(done)
        finally:
            for task in asked:
                abandon(task)
        return connection

    async def _ask(
        self, target: Target, peer: RelayPeer, reasons: list[str]
    ) -> UpstreamConnection | None:
        opening = RelayOpen(
            self._host, target.name, target.address, _ASK_TIMEOUT_S
        )
        client = RelayClient(self._registry, opening)
        reason = _SILENT
        try:
            async with asyncio.timeout(_ASK_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: client, peer.address.ip, peer.address.port
                )
                reason = await asyncio.shield(client.opened)
        except OSError:
            reason = _SILENT
        finally:
            if reason:
                client.abort()
        if not reason:
            client.on_lost = functools.partial(self._record_loss, target, peer)
            client.upstream.relayed_by = peer.name
            self._paths.mark_opened(peer.name, _now_s())
            self._on_outcome('opened')
            return client.upstream
        reasons.append(reason)
        self._record_refusal(target, peer, reason, client.told)
        return None

    def _record_refusal(
        self, target: Target, peer: RelayPeer, reason: str, told: str
    ) -> None:
        self._on_outcome('refused')
        if reason == _SILENT:
            self._paths.mark_slow(peer.name, _now_s())
        else:
            self._paths.mark_refused(peer.name, target.name, _now_s())
        if reason in {CUT, UNREACHABLE}:
            self._paths.mark_failed(peer.name, _now_s(), told)
        _log.event(
            'relay_not_opened',
            peer=peer.name,
            server=target.name,
            reason=reason,
            told=told,
        )

    def _record_loss(self, target: Target, peer: RelayPeer) -> None:
        self._on_outcome('lost')
        self._paths.mark_slow(peer.name, _now_s())
        _log.event('relay_lost', peer=peer.name, server=target.name)


def _first_open(
    done: set[asyncio.Task[UpstreamConnection | None]],
) -> UpstreamConnection | None:
    opened = [task.result() for task in done]
    connections = [each for each in opened if each is not None]
    for spare in connections[1:]:
        spare.close()
    return connections[0] if connections else None


def abandon(
    attempt: asyncio.Task[UpstreamConnection]
    | asyncio.Task[UpstreamConnection | None],
) -> None:
    """Cancel an attempt, or close the connection that it opened."""
    attempt.cancel()
    if not attempt.done() or attempt.cancelled():
        return
    if attempt.exception() is None:
        connection = attempt.result()
        if connection is not None:
            connection.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
