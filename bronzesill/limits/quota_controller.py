"""Controller of quotas: asks homes for grants and renews them."""

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
    GRANT_S,
    QuotaAnswer,
    QuotaQuestion,
    QuotaTable,
    wanted_grant,
)

__all__ = ['FindQuotaHome', 'QuotaController', 'QuotaHome']

_RENEW_S = 1.5
_ASK_TIMEOUT_S = 0.2

_log = PartLogger('limits')


@dataclasses.dataclass(frozen=True)
class QuotaHome:
    """
    The daemon that shares out an account's quota.

    :param name: name of the daemon.
    :param address: address for peers.
    """

    name: str
    address: Address


FindQuotaHome: TypeAlias = Callable[[str], QuotaHome | None]


class QuotaController:
    """
    Owner of this daemon's parts of all quotas.

    Without an answer from the home a daemon uses an even share, one at the
    least: with n daemons cut off at most the quota or n generations run.

    :param own: name of this daemon.
    :param table: grants that this daemon gives as a home.
    :param client: streams to peers.
    :param find_home: gives the home of an account.
    :param count_daemons: number of live daemons.
    """

    def __init__(
        self,
        own: str,
        table: QuotaTable,
        client: PeerClient,
        find_home: FindQuotaHome,
        count_daemons: Callable[[], int],
    ) -> None:
        #: Limits by account, changed in place; read by admission.
        self.granted_by_account: dict[str, int] = {}
        self.limits_by_account: Mapping[str, int] = {}
        self._own = own
        self._table = table
        self._client = client
        self._find_home = find_home
        self._count_daemons = count_daemons
        self._asked_at_s: dict[str, float] = {}
        self._expected_by_account = collections.Counter[str]()

    async def run(
        self, running_by_account: Callable[[], Mapping[str, int]]
    ) -> None:
        """
        Renew the grants in use, for ever.

        :param running_by_account: generations running here.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_RENEW_S)
            self._table.expire(loop.time())
            running = running_by_account()
            for account in tuple(self.granted_by_account):
                await self._renew(account, running.get(account, 0))

    @contextlib.asynccontextmanager
    async def expecting(
        self, account: str, running: int
    ) -> AsyncIterator[None]:
        """
        Ask for a larger part if one more generation needs it.

        Until the block ends the generation counts as expected, so that
        requests that come together ask for all of them.

        :param account: client account.
        :param running: generations of the account running here.
        """
        self._expected_by_account[account] += 1
        needed = running + self._expected_by_account[account]
        try:
            if needed > self.granted_by_account.get(account, 0):
                await self._ask(account, wanted_grant(needed))
            yield
        finally:
            self._expected_by_account[account] -= 1

    def answer(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answer another daemon as the home of an account."""
        now_s = asyncio.get_running_loop().time()
        return self._table.ask(question, now_s)

    async def _renew(self, account: str, running: int) -> None:
        now_s = asyncio.get_running_loop().time()
        idle_s = now_s - self._asked_at_s.get(account, 0)
        if not running and idle_s > GRANT_S:
            self.granted_by_account.pop(account, None)
            self._asked_at_s.pop(account, None)
        elif running:
            needed = running + self._expected_by_account[account]
            await self._ask(account, wanted_grant(needed))

    async def _ask(self, account: str, wanted: int) -> None:
        limit = self.limits_by_account.get(account, 0)
        question = QuotaQuestion(account, self._own, wanted, limit)
        now_s = asyncio.get_running_loop().time()
        self._asked_at_s[account] = now_s
        answer = await self._ask_home(question)
        if answer is None:
            even = -(-limit // max(self._count_daemons(), 1))
            self.granted_by_account[account] = max(even, 1)
        else:
            self.granted_by_account[account] = answer.granted

    async def _ask_home(self, question: QuotaQuestion) -> QuotaAnswer | None:
        home = self._find_home(question.account)
        if home is None or home.name == self._own:
            return self.answer(question)
        try:
            answer = await self._client.ask(
                home.address, question, _ASK_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.info('quota of %s: %s', question.account, error)
            return None
        return answer if isinstance(answer, QuotaAnswer) else None
