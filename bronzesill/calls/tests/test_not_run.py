"""Idempotent calls that reach no server, or lose one."""

import asyncio
import unittest
from random import Random

from ...config import Route
from ...routing import TrafficSplit
from ...utils import BronzesillError, ResultCode
from ..idempotent import IdempotentCalls
from ..interfaces import CallAnswer, CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end, make_tracker


class _FailingSender:
    """Fails the sends with errors in turn, the last one again and again."""

    def __init__(self, *codes: ResultCode) -> None:
        self._codes = list(codes)

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        code = self._codes.pop(0) if len(self._codes) > 1 else self._codes[0]
        raise BronzesillError(code, server, retry_after_s=1)


class NotRunTest(unittest.IsolatedAsyncioTestCase):
    """The answer tells truly whether a server may have run the call."""

    async def run_call(self, *codes: ResultCode) -> BronzesillError:
        servers = ServiceServers(
            make_tracker(),
            lambda _: TrafficSplit(''),
            ignore_call_end,
            Random(1),
        )
        routed = RoutedCall(
            call=CallRequest('GET', '', {}, b''),
            route_name='lookups',
            route=Route('/', 'shop', idempotent=True),
            account='huka',
            request_id='request',
            key='',
            deadline_at_s=asyncio.get_running_loop().time() + 1,
        )
        calls = IdempotentCalls(_FailingSender(*codes), servers)
        with self.assertRaises(BronzesillError) as caught:
            await calls.run(routed)
        return caught.exception

    # Guards against 502 for requests that no server ever got.
    async def test_call_that_reached_no_server_is_not_run(self) -> None:
        error = await self.run_call(ResultCode.CALL_NOT_RUN)
        self.assertIs(error.code, ResultCode.CALL_NOT_RUN)
        self.assertEqual(error.retry_after_s, 1)

    async def test_lost_call_may_have_run(self) -> None:
        for codes in (
            (ResultCode.CALL_OUTCOME_UNKNOWN, ResultCode.CALL_NOT_RUN),
            (ResultCode.CALL_NOT_RUN, ResultCode.CALL_OUTCOME_UNKNOWN),
        ):
            error = await self.run_call(*codes)
            self.assertIs(error.code, ResultCode.CALL_FAILED)


if __name__ == '__main__':
    unittest.main()
