"""Requests that meet an error that no handler expects."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from ...gateway import forward_stream, forwarding
from ...generations import placement
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from ...utils import logs
from .hosted_caller import HostedAnswer, HostedCaller

_PLAN = HostedPlan(
    daemons=1,
    workers=(
        WorkerPlan('e-1', 'engines', is_engine=True),
        WorkerPlan('s-1', 'shop'),
    ),
)


class _Fault(Exception):
    """An error of a kind that no code raises."""


class _FailsOnce:
    """
    Function whose first call raises an error.

    :param function: the function.
    """

    def __init__(self, function: Callable[..., Any]) -> None:
        self._function = function
        self._has_failed = False

    def __call__(self, *arguments: Any) -> Any:
        if self._has_failed:
            return self._function(*arguments)
        self._has_failed = True
        raise _Fault


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Such a request is answered, and its id is in the log."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(_PLAN).__aenter__()
        self.caller = HostedCaller()
        write = mock.patch.object(logs._requests_log, 'event')
        self.write = write.start()
        self.addCleanup(write.stop)

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def send(self, target: str) -> HostedAnswer:
        address = self.fleet.daemons[0].settings.callers
        return await self.caller.send_request(address, target)

    def logged_steps(self) -> list[str]:
        return [call.kwargs['step'] for call in self.write.call_args_list]

    # An error in a handler, beside a change of the configuration, must not
    # end a request that was read whole without an answer.
    async def test_error_in_handler_is_answered_as_outcome_unknown(
        self,
    ) -> None:
        with mock.patch.object(
            forwarding.ForwardResource, '_run_call', side_effect=_Fault
        ):
            answer = await self.send('/orders/1')
        self.assertEqual(answer.status, 502)
        self.assertIn(b'outcome unknown', answer.body)
        self.assertEqual(self.logged_steps(), ['a request'])

    # An error while a server is chosen must not leave the caller waiting.
    async def test_error_in_choice_of_server_is_tried_again(self) -> None:
        choose = placement.ServerChoice.choose
        with mock.patch.object(
            placement.ServerChoice,
            'choose',
            autospec=True,
            side_effect=_FailsOnce(choose),
        ):
            answer = await self.send('/guides/1')
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.logged_steps(), ['choosing a server'])

    async def test_stream_end_tells_time_left(self) -> None:
        with mock.patch.object(forward_stream._log, 'event') as write:
            await self.send('/guides/1')
        fields = write.call_args.kwargs
        self.assertEqual(fields['outcome'], 'whole')
        self.assertGreater(fields['remaining_s'], 0)
        self.assertEqual(fields['lost_attempts'], '')


if __name__ == '__main__':
    unittest.main()
