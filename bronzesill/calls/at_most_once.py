"""At-most-once calls: retried only while no server has run them."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterator

from ..utils import BronzesillError, ResultCode
from .interfaces import CallAnswer, CallSender, RoutedCall, SendProgress
from .servers import RETRY_AFTER_S, ServiceServers

__all__ = ['AtMostOnceCalls']


class AtMostOnceCalls:
    """
    Sends calls that must run at most once.

    :param sender: sends a call to one server.
    :param servers: selects and orders the servers for a call.
    """

    def __init__(self, sender: CallSender, servers: ServiceServers) -> None:
        self._sender = sender
        self._servers = servers

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call, trying the next server only if it was not run.

        :raises BronzesillError: ``CALL_NOT_RUN`` if no server ran the call,
            ``CALL_OUTCOME_UNKNOWN`` if it failed after it may have run.
        """
        not_run_error = BronzesillError(
            ResultCode.CALL_NOT_RUN,
            'not run: no server available for the service',
        )
        await self._servers.prepare(routed)
        for server in self._order(routed):
            try:
                return await self._attempt(server, routed)
            except BronzesillError as error:
                if error.code is not ResultCode.CALL_NOT_RUN:
                    raise
                not_run_error = error
        raise BronzesillError(
            not_run_error.code,
            not_run_error.message,
            retry_after_s=not_run_error.retry_after_s or RETRY_AFTER_S,
        )

    def _order(self, routed: RoutedCall) -> Iterator[str]:
        """Yield the servers to try, no further one after the deadline."""
        loop = asyncio.get_running_loop()
        for server in self._servers.order(routed):
            yield server
            if loop.time() >= routed.deadline_at_s:
                return

    async def _attempt(self, server: str, routed: RoutedCall) -> CallAnswer:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._servers.call_started(server)
        outcome: CallAnswer | BronzesillError | None = None
        try:
            outcome = await self._send_before_deadline(server, routed)
        except BronzesillError as error:
            outcome = error
            raise
        finally:
            self._servers.call_ended(server, routed, outcome, started_s)
        return outcome

    async def _send_before_deadline(
        self, server: str, routed: RoutedCall
    ) -> CallAnswer:
        progress = SendProgress()
        attempt = dataclasses.replace(routed, progress=progress)
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                return await self._sender.send(server, attempt)
        except TimeoutError:
            raise _late_error(server, progress) from None


def _late_error(server: str, progress: SendProgress) -> BronzesillError:
    if progress.may_have_run:
        return BronzesillError(
            ResultCode.CALL_OUTCOME_UNKNOWN,
            f'outcome unknown: {server} did not answer in time',
        )
    return BronzesillError(
        ResultCode.CALL_NOT_RUN, f'not run: {server}: nothing sent in time'
    )
