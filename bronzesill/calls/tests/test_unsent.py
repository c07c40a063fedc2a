"""Calls to servers that accept no connection for a moment."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Callable
from random import Random
from typing import Any, cast
from unittest import mock

from ...config import Route
from ...routing import TrafficSplit
from ...upstream import RequestNotSent
from ...utils import BronzesillError, ResultCode
from ..at_most_once import AtMostOnceCalls
from ..forward_sender import ForwardSender
from ..idempotent import IdempotentCalls
from ..interfaces import CallAnswer, CallRequest, CallSender, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker

_MAX_ATTEMPTS = 2
_DEADLINE_S = 0.2
#: The event loop is held up from the first to the second, over the deadline.
_HELD_UP_AT_S = 0.15
_HELD_UP_S = 0.1


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

    def __init__(self) -> None:
        self.acquired = 0

    async def acquire(self, target: object, *, max_idle_s: float) -> object:
        self.acquired += 1
        return await asyncio.Event().wait()


class _SilentPool:
    """Pool whose connections deliver no answer."""

    async def acquire(self, target: object, *, max_idle_s: float) -> object:
        return mock.Mock(send=_wait_for_ever)


class _SilentSender:
    """Sender that does not tell whether it has sent anything."""

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        return cast('CallAnswer', await _wait_for_ever())


async def _wait_for_ever(*args: object, **kwargs: object) -> object:
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
    deadline_at_s = 0.0
    priority = None


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


class LateLoopTest(unittest.IsolatedAsyncioTestCase):
    """The answer at the deadline tells whether anything was sent."""

    def hold_up_loop(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_HELD_UP_AT_S, time.sleep, _HELD_UP_S)

    def make_sender(self, pool: object) -> ForwardSender:
        return ForwardSender(
            cast('Any', pool), mock.Mock(), _servers(), ignore_call_end
        )

    async def fail_once(self, sender: CallSender) -> ResultCode:
        """Return the error of a call that must run at most once."""
        calls = AtMostOnceCalls(sender, _servers())
        with self.assertRaises(BronzesillError) as caught:
            await calls.run(_routed(idempotent=False, timeout_s=_DEADLINE_S))
        return caught.exception.code

    async def fail_idempotent(
        self, sender: CallSender, timeout_s: float = _DEADLINE_S
    ) -> ResultCode:
        """Return the error of a call that may be repeated."""
        calls = IdempotentCalls(sender, _servers())
        with self.assertRaises(BronzesillError) as caught:
            await calls.run(_routed(timeout_s=timeout_s))
        return caught.exception.code

    # Two timers raced: if the event loop was late, a call of which nothing was
    # sent was answered as one that may have run.
    async def test_unsent_call_at_most_once_was_not_run(self) -> None:
        pool = _HangingPool()
        self.hold_up_loop()
        code = await self.fail_once(self.make_sender(pool))
        self.assertIs(code, ResultCode.CALL_NOT_RUN)
        self.assertEqual(pool.acquired, 1)

    async def test_unsent_idempotent_call_was_not_run(self) -> None:
        self.hold_up_loop()
        code = await self.fail_idempotent(self.make_sender(_HangingPool()))
        self.assertIs(code, ResultCode.CALL_NOT_RUN)

    async def test_sent_call_may_have_run(self) -> None:
        for sender in (self.make_sender(_SilentPool()), _SilentSender()):
            with self.subTest(type(sender).__name__):
                code = await self.fail_once(sender)
                self.assertIs(code, ResultCode.CALL_OUTCOME_UNKNOWN)
                code = await self.fail_idempotent(sender)
                self.assertIs(code, ResultCode.CALL_TIMED_OUT)

    async def test_one_sent_attempt_among_unsent_ones_may_have_run(
        self,
    ) -> None:
        hanging = _HangingPool()
        lease = mock.Mock(send=_wait_for_ever)
        first = mock.AsyncMock(return_value=lease)
        pool = mock.Mock()
        pool.acquire.side_effect = _in_turn(first, hanging.acquire)
        code = await self.fail_idempotent(
            self.make_sender(pool), timeout_s=2 * _DEADLINE_S
        )
        self.assertIs(code, ResultCode.CALL_TIMED_OUT)
        self.assertGreater(hanging.acquired, 0)


def _in_turn(
    first: Callable[..., Any], others: Callable[..., Any]
) -> Callable[..., Any]:
    """Return a function that calls the first function once, then others."""
    functions = [first]

    def call(*args: object, **kwargs: object) -> Any:
        function = functions.pop() if functions else others
        return function(*args, **kwargs)

    return call


if __name__ == '__main__':
    unittest.main()
