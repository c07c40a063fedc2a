"""Calls that are sent to one server after the other until one takes them."""

from __future__ import annotations

import asyncio

from ..utils import BronzesillError, ResultCode
from .interfaces import CallSender, RoutedCall
from .pass_through import CallAnswer
from .servers import ServiceServers

__all__ = ['OnceCalls']


class OnceCalls:
    """
    Sends calls that may run at most once.

    :param sender: sends a call to one server.
    :param servers: order of servers for a call.
    """

    def __init__(self, sender: CallSender, servers: ServiceServers) -> None:
        self._sender = sender
        self._servers = servers

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call; try another server only if it was surely not run.

        :raises BronzesillError: ``CALL_NOT_RUN`` if no server took it,
            ``CALL_OUTCOME_UNKNOWN`` for any later failure.
        """
        refusal = BronzesillError(
            ResultCode.CALL_NOT_RUN, 'not run: no server of the service'
        )
        for name in self._servers.order(routed):
            try:
                return await self._send_to(name, routed)
            except BronzesillError as error:
                if error.code is not ResultCode.CALL_NOT_RUN:
                    raise
                refusal = error
        raise refusal

    async def _send_to(self, name: str, routed: RoutedCall) -> CallAnswer:
        loop = asyncio.get_running_loop()
        self._servers.opened(name)
        started_s = loop.time()
        outcome: CallAnswer | BronzesillError | None = None
        try:
            outcome = await self._send_in_time(name, routed)
        except BronzesillError as error:
            outcome = error
            raise
        finally:
            self._servers.closed(name, routed, outcome, started_s)
        return outcome

    async def _send_in_time(self, name: str, routed: RoutedCall) -> CallAnswer:
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                return await self._sender.send(name, routed)
        except TimeoutError:
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                f'outcome unknown: {name} did not answer in time',
            ) from None
