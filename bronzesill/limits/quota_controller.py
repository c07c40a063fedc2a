"""Controller that requests and renews quota grants."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping
from typing import TypeAlias

from ..utils import Address, BronzesillError, PartLogger
from ..wire import PeerClient
from .quota import (
    GRANT_TTL_S,
    QuotaRequest,
    QuotaResponse,
    QuotaTable,
    desired_grant,
)

__all__ = ['FindQuotaCoordinator', 'QuotaController', 'QuotaCoordinator']

_RENEW_INTERVAL_S = 1.5
_REQUEST_TIMEOUT_S = 0.2

_log = PartLogger('limits')


@dataclasses.dataclass(frozen=True)
class QuotaCoordinator:
    """
    Coordinator daemon, which issues the grants of a client account.

    :param name: name of the daemon.
    :param address: address at which the daemon accepts peer connections.
    """

    name: str
    address: Address


FindQuotaCoordinator: TypeAlias = Callable[[str], QuotaCoordinator | None]


class QuotaController:
    """
    Quota grants held by this daemon.

    If the coordinator of an account is unreachable, the daemon uses an even
    share of the quota, rounded up and at least one.  n disconnected daemons
    together thus run about the quota at most, or n generations if the quota is
    smaller than n.

    :param own_name: name of this daemon.
    :param table: grants that this daemon issues as a coordinator.
    :param client: client for requests to peers.
    :param find_coordinator: returns the coordinator of a client account,
        ``None`` if there is none; this daemon then issues its own grants.
    :param count_daemons: returns the number of live daemons.
    """

    def __init__(
        self,
        own_name: str,
        table: QuotaTable,
        client: PeerClient,
        find_coordinator: FindQuotaCoordinator,
        count_daemons: Callable[[], int],
    ) -> None:
        #: Granted generations by account; updated in place, read by admission.
        self.granted_by_account: dict[str, int] = {}
        self.limits_by_account: Mapping[str, int] = {}
        self._own_name = own_name
        self._table = table
        self._client = client
        self._find_coordinator = find_coordinator
        self._count_daemons = count_daemons
        self._requested_at_s: dict[str, float] = {}
        self._expected_by_account = collections.Counter[str]()

    async def run(
        self, running_by_account: Callable[[], Mapping[str, int]]
    ) -> None:
        """
        Periodically renew the grants in use; runs until it is cancelled.

        :param running_by_account: returns the number of generations running
            on this daemon by client account.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_RENEW_INTERVAL_S)
            self._table.expire(loop.time())
            running = running_by_account()
            for account in tuple(self.granted_by_account):
                await self._renew(account, running.get(account, 0))

    @contextlib.asynccontextmanager
    async def expecting(
        self, account: str, running: int
    ) -> AsyncIterator[None]:
        """
        Request a larger grant if one more generation exceeds the current one.

        Within the context the generation counts as expected, so that
        concurrent requests are included in a single larger grant.

        :param account: client account.
        :param running: generations of the account running on this daemon.
        """
        self._expected_by_account[account] += 1
        needed = running + self._expected_by_account[account]
        try:
            if needed > self.granted_by_account.get(account, 0):
                await self._request_grant(account, desired_grant(needed))
            yield
        finally:
            self._expected_by_account[account] -= 1

    def answer(self, request: QuotaRequest) -> QuotaResponse:
        """Process a quota request as the coordinator of the account."""
        now_s = asyncio.get_running_loop().time()
        return self._table.ask(request, now_s)

    async def _renew(self, account: str, running: int) -> None:
        now_s = asyncio.get_running_loop().time()
        idle_s = now_s - self._requested_at_s.get(account, 0)
        if not running and idle_s > GRANT_TTL_S:
            self.granted_by_account.pop(account, None)
            self._requested_at_s.pop(account, None)
        elif running:
            needed = running + self._expected_by_account[account]
            await self._request_grant(account, desired_grant(needed))

    async def _request_grant(self, account: str, wanted: int) -> None:
        limit = self.limits_by_account.get(account, 0)
        request = QuotaRequest(account, self._own_name, wanted, limit)
        now_s = asyncio.get_running_loop().time()
        self._requested_at_s[account] = now_s
        response = await self._query_coordinator(request)
        if response is None:
            even_share = -(-limit // max(self._count_daemons(), 1))
            self.granted_by_account[account] = max(even_share, 1)
        else:
            self.granted_by_account[account] = response.granted

    async def _query_coordinator(
        self, request: QuotaRequest
    ) -> QuotaResponse | None:
        coordinator = self._find_coordinator(request.account)
        if coordinator is None or coordinator.name == self._own_name:
            return self.answer(request)
        try:
            response = await self._client.request(
                coordinator.address, request, _REQUEST_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('quota of %s: %s', request.account, error)
            return None
        return response if isinstance(response, QuotaResponse) else None
