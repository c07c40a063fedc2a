"""Calls to servers that accept no connection for a moment."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from typing import Any, cast

from ...config import Route
from ...routing import TrafficSplit
from ...upstream import RequestNotSent
from ...utils import BronzesillError, ResultCode
from ..at_most_once import AtMostOnceCalls
from ..forward_sender import ForwardSender
from ..idempotent import IdempotentCalls
from ..interfaces import CallAnswer, CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_MAX_ATTEMPTS = 2


class _SilentServers:
    """
    Sender whose first connections are not accepted.

    :param unsent: number of attempts of which nothing is sent.
    :param lost: number of attempts after them whose outcome is unknown.
    """

    def __init__(self, unsent: int, lost: int = 0) -> None:
        self.sent = 0
        self._unsent = unsent
        self._lost = lost

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        if self._unsent:
            self._unsent -= 1
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN, f'not run: {server}'
            ) from RequestNotSent(server)
        self.sent += 1
        if self.sent <= self._lost:
            raise BronzesillError(ResultCode.CALL_OUTCOME_UNKNOWN, 'lost')
        return CallAnswer(200, '', b'')


class _HangingPool:
    """Pool whose connections are never established."""

    async def acquire(self, target: object, *, max_idle_s: float) -> object:
        return await asyncio.Event().wait()


def _servers() -> ServiceServers:
    return ServiceServers(
        make_tracker(), lambda _: TrafficSplit(''), ignore_call_end, Random(1)
    )


def _routed(*, idempotent: bool = True, timeout_s: float = 1) -> RoutedCall:
    return RoutedCall(
        call=CallRequest('GET', '', {}, b''),
        route_name='lookups',
        route=Route(
            '/', 'shop', idempotent=idempotent, max_attempts=_MAX_ATTEMPTS
        ),
        account='huka',
        request_id='r1',
        key='',
        deadline_at_s=asyncio.get_running_loop().time() + timeout_s,
        forward=cast('Any', _Forward()),
    )


class _Forward:
    method = 'GET'
    body = b''


class UnsentCallTest(unittest.IsolatedAsyncioTestCase):
    """An attempt of which nothing was sent uses up none, and is "not run"."""

    async def run_call(self, sender: _SilentServers) -> CallAnswer:
        calls = IdempotentCalls(sender, _servers())
        return await calls.run(_routed())

    # Servers that accepted no connection used up the attempts of a call.
    async def test_unsent_attempts_use_up_none(self) -> None:
        sender = _SilentServers(unsent=4)
        answer = await self.run_call(sender)
        self.assertEqual((answer.status, sender.sent), (200, 1))

    async def test_sent_attempts_are_bounded(self) -> None:
        sender = _SilentServers(unsent=2, lost=9)
        with self.assertRaises(BronzesillError) as caught:
            await self.run_call(sender)
        self.assertNotEqual(caught.exception.code, ResultCode.CALL_NOT_RUN)
        self.assertEqual(sender.sent, _MAX_ATTEMPTS)

    # A call that reached no server was answered as one that may have run.
    async def test_call_that_reached_no_server_was_not_run(self) -> None:
        with self.assertRaises(BronzesillError) as caught:
            await self.run_call(_SilentServers(unsent=99))
        self.assertEqual(caught.exception.code, ResultCode.CALL_NOT_RUN)
        self.assertGreater(caught.exception.retry_after_s or 0, 0)

    # An order whose connection was not open at its deadline was answered as
    # one that may have run.
    async def test_connection_not_open_at_deadline_was_not_run(self) -> None:
        servers = _servers()
        sender = ForwardSender(
            cast('Any', _HangingPool()),
            cast('Any', None),
            servers,
            ignore_call_end,
        )
        with self.assertRaises(BronzesillError) as caught:
            await AtMostOnceCalls(sender, servers).run(
                _routed(idempotent=False, timeout_s=0.2)
            )
        self.assertEqual(caught.exception.code, ResultCode.CALL_NOT_RUN)


if __name__ == '__main__':
    unittest.main()
