"""
Requests of any kind beside configurations of any kind, in virtual time.

Silences, resets and removals of servers and a stop of the host come between.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import unittest
from collections.abc import Coroutine
from typing import Any

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ...standins.hosted_fleet import HOSTED_KEY, make_configuration
from ...standins.virtual_time import run_in_virtual_time
from .hosted_caller import HOST
from .memory_connection import CallerConnection
from .virtual_host import VirtualHost

_DEADLINE_S = 3.0
_MS_PER_S = 1000
#: Shortest timeout of a route; an answer may be cut from then on.
_SHORT_TIMEOUT_S = 1.5
#: Time after its deadline within which a request has its answer.
_SLACK_S = 1.0
_POLL_S = 0.02
#: Time within which a request that has arrived is refused before an exit.
_READ_S = 0.06
_GRACE_S = 1.0
_LINES = 2
_MAX_STEPS = 20
_INTERNAL_ERROR = 500
_TARGETS = ('/guides/1', '/orders/1', '/lookups/1')

_LIMITS_BY_NAME: dict[str, dict[str, int]] = {
    'idle': {'idleTimeoutMs': 400},
    'heads': {'maxHeaderBytes': 100},
    'slow heads': {'headerTimeoutMs': 50},
    'bodies': {'maxBodyBytes': 1},
}
_ROUTE_FIELDS_BY_NAME: dict[str, dict[str, Any]] = {
    'timeouts': {'timeoutMs': int(_SHORT_TIMEOUT_S * _MS_PER_S)},
    'attempts': {'maxAttempts': 1},
    'services': {'service': 'shop'},
    'unreadable': {'prefix': 7},
    'strange': {'timeoutMs': 'soon'},
}
_DOCUMENTS = (
    'default',
    'keys',
    'no routes',
    'no services',
    *_LIMITS_BY_NAME,
    *_ROUTE_FIELDS_BY_NAME,
)


def _document(name: str, version: int) -> dict[str, Any]:
    """Return a configuration that differs from the default in one way."""
    document = make_configuration(**_LIMITS_BY_NAME.get(name, {}))
    document['version'] = version
    for route in document['routes']:
        route.update(_ROUTE_FIELDS_BY_NAME.get(name, {}))
    if name == 'keys':
        document['tenants'] = [{'name': 'huka', 'apiKeys': ['other']}]
    if name in {'no routes', 'no services'}:
        document[name.removeprefix('no ')] = []
    return document


@dataclasses.dataclass(frozen=True)
class _Shape:
    """
    A request and the way in which it is sent.

    :param target: path.
    :param framing: how the body is sent: ``length``, ``chunked`` or ``none``.
    :param pieces: number of pieces of head and body.
    :param gap_s: time between the pieces in seconds.
    :param line: number of the kept connection.
    """

    target: str
    framing: str
    pieces: int
    gap_s: float
    line: int

    def encode(self, number: int) -> bytes:
        """Return head and body."""
        head = (
            f'POST {self.target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Authorization: Bearer {HOSTED_KEY}\r\n'
            f'X-Attempt-Id: id-{number}\r\n'
            f'X-Deadline-Ms: {int(_DEADLINE_S * _MS_PER_S)}\r\n'
        )
        match self.framing:
            case 'length':
                rest = 'Content-Length: 9\r\n\r\ncatalogue'
            case 'chunked':
                rest = (
                    'Transfer-Encoding: chunked\r\n\r\n'
                    '4\r\ncata\r\n5\r\nlogue\r\n0\r\n\r\n'
                )
            case _:
                rest = '\r\n'
        return f'{head}{rest}'.encode()

    def split(self, number: int) -> list[bytes]:
        """Return the pieces."""
        sent = self.encode(number)
        size = -(-len(sent) // self.pieces)
        return [sent[at : at + size] for at in range(0, len(sent), size)]


_Step = tuple[str, Any, float]
_GAPS_S = st.sampled_from((0.0, 0.02, 0.1, 0.4, 1.2))
_SHAPES = st.builds(
    _Shape,
    st.sampled_from(_TARGETS),
    st.sampled_from(('length', 'chunked', 'none')),
    st.integers(1, 6),
    st.sampled_from((0.0, 0.03, 0.2)),
    st.integers(0, _LINES - 1),
)
_STEPS = st.one_of(
    st.tuples(st.just('send'), _SHAPES, _GAPS_S),
    st.tuples(st.just('configure'), st.sampled_from(_DOCUMENTS), _GAPS_S),
    st.tuples(
        st.just('silence'),
        st.tuples(st.sampled_from('es'), st.sampled_from((1.0, 4.0))),
        _GAPS_S,
    ),
    st.tuples(
        st.sampled_from(('reset', 'leave', 'return')),
        st.sampled_from(('e-1', 's-1')),
        _GAPS_S,
    ),
)


class _Line:
    """
    Kept connection on which requests follow each other.

    :param host: the host.
    """

    def __init__(self, host: VirtualHost) -> None:
        self._host = host
        self._lock = asyncio.Lock()
        self._connection = host.connections.open()
        self._sent = 0

    async def send(self, shape: _Shape, name: int) -> str:
        """Send a request after the one before and return what is wrong."""
        async with self._lock:
            connection = self._connection
            fault = ''
            if connection.transport.is_closing():
                fault = self._judge_close(connection)
            if connection.transport.is_closing() or connection.is_announced:
                connection = self._host.connections.open()
                self._connection = connection
            return fault or await self._exchange(connection, shape, name)

    def _judge_close(self, connection: CallerConnection) -> str:
        """Return what is wrong about the close of an idle connection."""
        # Whether an answer was cut is judged with its request.
        is_judged = connection.is_announced or connection.is_answer_begun
        if is_judged or self._is_exit(connection):
            return ''
        idle_s = connection.transport.closed_at_s - connection.idle_since_s
        limit_s = connection.transport.limits.idle_timeout_s
        if idle_s + _POLL_S < limit_s:
            return f'closed after {idle_s:.2f} s of {limit_s} s'
        return ''

    async def _exchange(
        self, connection: CallerConnection, shape: _Shape, name: int
    ) -> str:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        before = len(connection.statuses)
        pieces = shape.split(name)
        accepted = 0
        whole_at_s = started_s
        for piece in pieces:
            accepted += connection.send(piece)
            whole_at_s = loop.time()
            await asyncio.sleep(shape.gap_s)
        await _wait_for_answer(connection, before)
        if len(connection.statuses) > before:
            is_broken = connection.statuses[-1] == _INTERNAL_ERROR
            return 'internal error' if is_broken else ''
        lasted_s = loop.time() - started_s
        read_s = connection.transport.closed_at_s - whole_at_s
        is_read = accepted == len(pieces) and read_s > _READ_S
        if self._may_be_cut(connection, lasted_s, is_read=is_read):
            return ''
        state = 'cut' if connection.is_answer_begun else 'unanswered'
        return f'{state} after {lasted_s:.2f} s: {shape}'

    def _may_be_cut(
        self, connection: CallerConnection, lasted_s: float, *, is_read: bool
    ) -> bool:
        """Return whether a request may end without a whole answer."""
        if self._is_exit(connection):
            return connection.is_answer_begun or not is_read
        return connection.is_answer_begun and lasted_s >= _SHORT_TIMEOUT_S

    def _is_exit(self, connection: CallerConnection) -> bool:
        """Return whether the host closed a connection as it exited."""
        closed_at_s = connection.transport.closed_at_s
        return self._host.exited_at_s is not None and (
            closed_at_s >= self._host.exited_at_s
        )


async def _wait_for_answer(connection: CallerConnection, before: int) -> None:
    """Wait for one more answer, the close of the connection or the deadline."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + _DEADLINE_S + _SLACK_S
    while len(connection.statuses) == before and loop.time() < ends_s:
        if connection.transport.is_closing():
            return
        await asyncio.sleep(_POLL_S)


class _Play:
    """Steps on a host with requests between them."""

    def __init__(self) -> None:
        self._host = VirtualHost()
        self._host.start(_document('default', 1))
        self._lines = [_Line(self._host) for _ in range(_LINES)]
        self._requests: list[asyncio.Task[str]] = []
        self._version = 1

    async def run(self, steps: list[_Step], stop_at: int) -> list[str]:
        """
        Perform the steps and return what is wrong about the requests.

        :param steps: actions, their subjects and times to wait after them.
        :param stop_at: number of steps before a planned stop.
        """
        async with asyncio.TaskGroup() as tasks:
            for number, (action, subject, gap_s) in enumerate(steps):
                if number == stop_at:
                    tasks.create_task(self._host.stop(_GRACE_S))
                self._perform(action, subject)
                await asyncio.sleep(gap_s)
        faults = await asyncio.gather(*self._requests)
        await self._host.close()
        return [fault for fault in faults if fault]

    def _perform(self, action: str, subject: Any) -> None:
        match action:
            case 'send':
                self._send(subject)
            case 'configure':
                self._version += 1
                self._host.configure(_document(subject, self._version))
            case 'silence':
                self._host.servers.silence(*subject)
            case 'reset':
                self._host.servers.reset(subject)
            case 'leave':
                self._host.list_server(subject, 'draining')
            case 'return':
                self._host.list_server(subject)

    def _send(self, shape: _Shape) -> None:
        name = len(self._requests)
        line = self._lines[shape.line]
        self._requests.append(asyncio.create_task(line.send(shape, name)))


def _run(play: Coroutine[Any, Any, list[str]]) -> list[str]:
    for name in ('uvicorn.error', 'absl'):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    return run_in_virtual_time(play)


async def _play(steps: list[_Step], stop_at: int) -> list[str]:
    return await _Play().run(steps, stop_at)


class ChangedConfigurationTest(unittest.TestCase):
    """Each request that was read is answered or refused."""

    # Guards against a request that ends with a closed connection beside a
    # change of the configuration.
    @settings(
        max_examples=600,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate, Phase.shrink),
    )
    @given(
        st.lists(_STEPS, min_size=1, max_size=_MAX_STEPS),
        st.integers(0, _MAX_STEPS),
    )
    def test_requests_are_answered(
        self, steps: list[_Step], stop_at: int
    ) -> None:
        self.assertEqual(_run(_play(steps, stop_at)), [])


if __name__ == '__main__':
    unittest.main()
