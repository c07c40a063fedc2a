"""Pool of keep-alive connections to backend servers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from ..utils import PartLogger
from .answer import AnswerError, AnswerHead, PathCut
from .connection import UpstreamConnection
from .connectors import Connector, DirectConnector, Reach, Target
from .memory import AnswerMemory
from .open_bytes import OpenBytes
from .purposes import Purpose
from .reuse import IdleLimit, is_proven_alive

__all__ = ['ConnectionLease', 'ConnectionPool']

_CONNECT_TIMEOUT_S = 0.25
#: Time without an answer after which the path to its server is checked.
_SILENCE_S = 0.25
#: Time between two looks at a silent answer whose path may be cut.
_WATCH_INTERVAL_S = 0.25
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_KEEP_ALIVE_S = 4.0
_TIMEOUT_PATTERN = re.compile(rb'timeout=(\d{1,9})')

_log = PartLogger('upstream')


class ConnectionPool:
    """
    Idle connections by target, reused in last-in, first-out order.

    :param connect_timeout_s: seconds until an attempt to connect fails.
    """

    def __init__(self, connect_timeout_s: float = _CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self.direct = DirectConnector()
        self.direct.on_spare = self.add_spare
        #: Opens the connections of this pool.
        self.connector: Connector = self.direct
        #: Returns whether new connections to a server are saved: calls go by
        #: the idle timeout that it states, and known life replaces probes.
        self.saves_connections: Callable[[str], bool] = _is_never
        #: Requests and answers that this host keeps.
        self.memory = AnswerMemory()
        #: Requests that servers hold for this host.
        self.open_bytes = OpenBytes()
        #: Called with the server and the reason of each invalid answer.
        self.on_invalid: Callable[[str, str], object] = _ignore
        self._idle_by_target: dict[Target, list[UpstreamConnection]] = {}

    @property
    def opened(self) -> int:
        """Number of direct connection attempts, including failed ones."""
        return self.direct.counts.total

    async def acquire(
        self,
        target: Target,
        *,
        max_idle_s: float,
        purpose: Purpose = Purpose.CALL,
    ) -> ConnectionLease:
        """
        Return an idle connection, or open one if none may be reused.

        :param target: server to connect to.
        :param max_idle_s: longest time in seconds for which a reused
            connection may have been idle; calls go by the timeout that the
            server states where connections are saved.
        :param purpose: what the connection is for.
        :raises RequestNotSent: the connection could not be established.
        """
        now_s = asyncio.get_running_loop().time()
        limit = self._find_limit(target, max_idle_s, purpose)
        idle = self._idle_by_target.get(target, [])
        while idle:
            connection = idle.pop()
            may_use = limit.allows(connection, now_s)
            if may_use and self.connector.may_reuse(target, connection):
                return ConnectionLease(self, target, connection)
            connection.close()
        connection = await self.connector.connect(
            target, self._connect_timeout_s, purpose
        )
        return ConnectionLease(self, target, connection)

    def has_idle(self, target: Target, *, max_idle_s: float) -> bool:
        """
        Return whether ``acquire`` would reuse a connection for a call.

        :param target: server to connect to.
        :param max_idle_s: as for ``acquire``.
        """
        now_s = asyncio.get_running_loop().time()
        limit = self._find_limit(target, max_idle_s, Purpose.CALL)
        return any(
            limit.allows(connection, now_s)
            and self.connector.may_reuse(target, connection)
            for connection in self._idle_by_target.get(target, ())
        )

    def is_proven_alive(self, target: Target) -> bool:
        """
        Return whether an idle connection makes a probe of a server needless.

        It does not tell whether the server has just ended.

        :param target: server to connect to.
        """
        if not self.saves_connections(target.name):
            return False
        now_s = asyncio.get_running_loop().time()
        return any(
            is_proven_alive(connection, now_s)
            and self.connector.may_reuse(target, connection)
            for connection in self._idle_by_target.get(target, ())
        )

    async def acquire_direct(self, target: Target) -> ConnectionLease:
        """
        Open a connection for a health check, never through another host.

        :param target: server to connect to.
        :raises RequestNotSent: the connection could not be established.
        """
        connection = await self.direct.connect(
            target, self._connect_timeout_s, Purpose.HEALTH
        )
        return ConnectionLease(self, target, connection)

    async def probe(self, target: Target) -> bool:
        """
        Return whether a server accepts a connection of any host.

        The connection is added to the idle ones.

        :param target: server to connect to.
        """
        return await self.connector.check(target) is not Reach.NONE

    async def is_path_cut(self, target: Target) -> bool:
        """
        Find out whether only another host reaches a server.

        The server may have been found reachable up to a second ago.

        :param target: server to connect to.
        """
        return await self.connector.is_cut(target)

    def add_spare(self, target: Target, connection: UpstreamConnection) -> None:
        """Add a connection that has carried no request to the idle ones."""
        now_s = asyncio.get_running_loop().time()
        connection.usable_until_s = now_s + _DEFAULT_KEEP_ALIVE_S
        self.put_idle(target, connection)

    def put_idle(self, target: Target, connection: UpstreamConnection) -> None:
        """Add a connection without a pending answer to the idle ones."""
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle_by_target.setdefault(target, []).append(connection)

    def close_unlisted(self, targets: frozenset[Target]) -> None:
        """
        Close idle connections to servers that are no longer listed.

        :param targets: the servers that are listed.
        """
        names = frozenset(target.name for target in targets)
        self.direct.keep_only(names)
        self.connector.keep_only(names)
        for target in tuple(self._idle_by_target):
            if target not in targets:
                for connection in self._idle_by_target.pop(target):
                    connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.connector.close()
        self.close_unlisted(frozenset())

    def _find_limit(
        self, target: Target, max_idle_s: float, purpose: Purpose
    ) -> IdleLimit:
        trusts_stated_timeout = (
            purpose is Purpose.CALL and self.saves_connections(target.name)
        )
        return IdleLimit(max_idle_s, trusts_stated_timeout)


class ConnectionLease:
    """
    Exclusive use of a pooled connection by one request.

    :param pool: pool to which the connection is returned.
    :param target: server to which the connection leads.
    :param connection: the connection.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        target: Target,
        connection: UpstreamConnection,
    ) -> None:
        self._pool = pool
        self._target = target
        self._connection = connection
        self._stated_s: float | None = None
        self._is_fully_read = False
        self._open_bytes = 0
        #: Whether the connection has carried an earlier request.
        self.is_reused = connection.served > 0

    async def send(
        self,
        request: bytes,
        *,
        is_head: bool = False,
        may_give_up: Callable[[], bool] | None = None,
    ) -> AnswerHead:
        """
        Send a request and return the head of its answer.

        :param request: the serialized request, including its body.
        :param is_head: whether the method is ``HEAD``.
        :param may_give_up: returns whether to give the request up, called if
            the path to the server is found to be cut; ``None`` not to look.
        :raises RequestNotSent: the connection was closed before.
        :raises PathCut: the request was given up.
        :raises AnswerError: no valid head was received.
        """
        self._count_open(len(request))
        watch = None
        if may_give_up is not None and not self._connection.is_relayed:
            watch = asyncio.create_task(self._watch_path(may_give_up))
        try:
            head = await self._connection.send(request, is_head=is_head)
        except AnswerError as error:
            self._note_invalid(error)
            raise
        finally:
            if watch is not None:
                watch.cancel()
        self._stated_s = _stated_timeout_s(head)
        return head

    async def read(self) -> bytes:
        """
        Return the next bytes of the body, empty at its end.

        :raises AnswerError: the answer is truncated or invalid.
        """
        try:
            body = await self._connection.read()
        except AnswerError as error:
            self._note_invalid(error)
            raise
        self._is_fully_read = not body
        return body

    async def read_all(self, max_bytes: int) -> bytes:
        """
        Return the whole body.

        :param max_bytes: limit of its size.
        :raises AnswerError: the answer is truncated, invalid or too long, or
            the host keeps too many bytes of answers.
        """
        chunks = []
        size = 0
        chunk = await self.read_kept()
        while chunk:
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                self.discard()
                raise AnswerError(f'the body exceeds {max_bytes} bytes')
            chunk = await self.read_kept()
        return b''.join(chunks)

    async def read_kept(self) -> bytes:
        """
        Return the next bytes of a body that is kept, empty at its end.

        :raises AnswerError: the answer is truncated or invalid, or the host
            keeps too many bytes of answers.
        """
        body = await self.read()
        self._count(len(body))
        return body

    def keep(self, size: int) -> None:
        """
        Count the bytes that are kept of an answer, and no others of it.

        :param size: number of bytes.
        :raises AnswerError: the host keeps too many bytes of answers.
        """
        self._pool.memory.forget(self)
        if size:
            self._count(size)

    def fail(self, error: AnswerError) -> None:
        """Close the connection; its reader gets an error."""
        self._connection.fail(error)

    def release(self) -> None:
        """
        Return the connection to the pool, or close it.

        It is returned only if the answer was read to its end, the server
        allows another request on the connection and has taken this one.
        """
        connection = self._connection
        connection.served += 1
        connection.is_timeout_stated = self._stated_s is not None
        keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        if self._stated_s is not None:
            keep_alive_s = self._stated_s - _KEEP_ALIVE_MARGIN_S
        self._pool.memory.forget(self)
        self._count_open(0)
        may_reuse = (
            self._is_fully_read and connection.is_reusable and keep_alive_s > 0
        )
        if may_reuse and connection.has_unsent_bytes:
            connection.finish_writing()
        elif may_reuse:
            now_s = asyncio.get_running_loop().time()
            connection.usable_until_s = now_s + keep_alive_s
            self._pool.put_idle(self._target, connection)
        else:
            connection.close()

    def discard(self) -> None:
        """Close the connection; a later ``release`` does not pool it."""
        self._pool.memory.forget(self)
        self._count_open(0)
        self._connection.close()

    async def give_up_when_cut(self, silence_s: float) -> None:
        """
        Fail the answer if it falls silent while the path is known to be cut.

        Runs until cancelled, or until the answer has failed.  An answer that
        comes through a peer is left alone, and so is one that has not begun:
        its connection may live on while new ones fail.

        :param silence_s: silence in seconds that is waited for.
        """
        sent_at_s = asyncio.get_running_loop().time()
        while not self._connection.is_relayed:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            heard_at_s = self._connection.received_at_s
            has_begun = heard_at_s > sent_at_s
            is_silent = has_begun and now_s - heard_at_s >= silence_s
            if is_silent and self._pool.connector.is_known_cut(self._target):
                self._connection.fail(PathCut('path to the server is cut'))
                return

    async def _watch_path(self, may_give_up: Callable[[], bool]) -> None:
        """Find out whether the path is cut if no answer begins."""
        await asyncio.sleep(_SILENCE_S)
        is_cut = await self._pool.is_path_cut(self._target)
        if is_cut and may_give_up():
            self._connection.fail(PathCut('path to the server is cut'))

    def _count_open(self, size: int) -> None:
        """Count the bytes of an open request, instead of those before."""
        self._pool.open_bytes.remove(self._target.name, self._open_bytes)
        self._pool.open_bytes.add(self._target.name, size)
        self._open_bytes = size

    def _note_invalid(self, error: AnswerError) -> None:
        if not error.reason:
            return
        _log.event(
            'answer_invalid',
            server=self._target.name,
            reason=error.reason,
            error=str(error),
        )
        self._pool.on_invalid(self._target.name, error.reason)

    def _count(self, size: int) -> None:
        try:
            self._pool.memory.grow(self, size)
        except AnswerError:
            self.discard()
            raise


def _ignore(server: str, reason: str) -> None:
    """Count no invalid answer; the default of ``on_invalid``."""


def _stated_timeout_s(head: AnswerHead) -> float | None:
    """Return the idle timeout that a server states, none if it does not."""
    match = _TIMEOUT_PATTERN.search(head.find(b'keep-alive') or b'')
    return None if match is None else int(match.group(1))


def _is_never(name: str) -> bool:
    """Return ``False``; the default of ``saves_connections``."""
    return False
