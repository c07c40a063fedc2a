"""Idempotent calls whose path to the server is believed to be cut."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...config import Route
from ...limits import LocalRetryAllowance, RetryBudget
from ...platform.headers import PlatformDialect
from ...upstream import CallerFields, ConnectionPool, ForwardRequest, Header
from ...utils import Address
from .. import idempotent
from ..durations import LatencyEstimate
from ..forward_sender import ForwardSender
from ..idempotent import IdempotentCalls
from ..interfaces import CallAnswer, CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end

_DEADLINE_S = 3
#: Longer than it takes to give up a call without an answer.
_SLOW_S = 0.5
_OK = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n'
_REFUSED = (
    b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Attempt-Id: r1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class CutPathTest(unittest.IsolatedAsyncioTestCase):
    """A call is given up only if another attempt is made in its place."""

    async def asyncSetUp(self) -> None:
        estimate = mock.patch.object(
            idempotent, 'LatencyEstimate', lambda: LatencyEstimate(_DEADLINE_S)
        )
        estimate.start()
        self.addCleanup(estimate.stop)
        self.pool = ConnectionPool()
        self.pool.connector = mock.Mock(
            wraps=self.pool.direct, is_cut=mock.AsyncMock(return_value=True)
        )
        self.listeners: list[asyncio.Server] = []
        self.addresses: dict[str, Address] = {}

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for listener in self.listeners:
            listener.close()

    async def listen(
        self, name: str, answer: bytes = _OK, delay_s: float = 0
    ) -> None:
        """
        Start a server; calls are sent to servers in the order of their start.

        :param name: name of the server.
        :param answer: its answer to each request.
        :param delay_s: time in seconds until it answers.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            await asyncio.sleep(delay_s)
            writer.write(answer)
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        self.addresses[name] = Address('127.0.0.1', port)

    def make_calls(self, retries: int = 10) -> IdempotentCalls:
        servers = mock.create_autospec(ServiceServers, instance=True)
        servers.order.return_value = tuple(self.addresses)
        servers.address.side_effect = self.addresses.__getitem__
        servers.may_retry.return_value = True
        servers.expected_ratio.return_value = 1
        sender = ForwardSender(
            self.pool, PlatformDialect(), servers, ignore_call_end
        )
        budget = RetryBudget(retries, earned_per_first_attempt=0)
        return IdempotentCalls(sender, servers, LocalRetryAllowance(budget))

    async def run_call(
        self, calls: IdempotentCalls, max_attempts: int = 2
    ) -> CallAnswer:
        deadline_at_s = asyncio.get_running_loop().time() + _DEADLINE_S
        headers = (Header(b'x-attempt-id', b'r1'),)
        caller = CallerFields(request_id='r1')
        route = Route('/', 's', idempotent=True, max_attempts=max_attempts)
        forward = ForwardRequest(
            'r1', 'GET', b'/', headers, b'', '', deadline_at_s, caller
        )
        call = CallRequest('GET', '/', {}, b'')
        return await calls.run(
            RoutedCall(call, 'r', route, '', 'r1', '', deadline_at_s, forward)
        )

    # A call was given up, and ended as failed, although no other attempt was
    # made and its own connection delivered the answer.
    async def test_only_attempt_is_not_given_up(self) -> None:
        await self.listen('a', delay_s=_SLOW_S)
        await self.listen('b')
        answer = await self.run_call(self.make_calls(), max_attempts=1)
        self.assertEqual(answer.status, 200)

    async def test_last_attempt_is_not_given_up(self) -> None:
        await self.listen('a', _REFUSED)
        await self.listen('b', delay_s=_SLOW_S)
        await self.listen('c')
        answer = await self.run_call(self.make_calls(), max_attempts=2)
        self.assertEqual(answer.status, 200)

    async def test_call_to_last_server_is_not_given_up(self) -> None:
        await self.listen('a', delay_s=_SLOW_S)
        answer = await self.run_call(self.make_calls())
        self.assertEqual(answer.status, 200)

    async def test_call_without_retry_budget_is_not_given_up(self) -> None:
        await self.listen('a', delay_s=_SLOW_S)
        await self.listen('b')
        answer = await self.run_call(self.make_calls(retries=0))
        self.assertEqual(answer.status, 200)

    async def test_as_many_are_given_up_as_may_be_retried(self) -> None:
        await self.listen('a', delay_s=_SLOW_S)
        await self.listen('b')
        calls = self.make_calls(retries=2)
        answers = await asyncio.gather(
            *(self.run_call(calls) for _ in range(6))
        )
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(calls.extra_attempts, 2)

    async def test_call_is_given_up_for_another_attempt(self) -> None:
        await self.listen('a', delay_s=2 * _DEADLINE_S)
        await self.listen('b')
        calls = self.make_calls(retries=1)
        answer = await self.run_call(calls)
        self.assertEqual((answer.status, calls.extra_attempts), (200, 1))


if __name__ == '__main__':
    unittest.main()
