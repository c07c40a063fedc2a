"""Directory of generations kept by daemons found by rendezvous hashing."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TypeAlias

from ..utils import Address, BronzesillError
from ..wire import PeerClient
from .location_messages import (
    ClaimLocation,
    FindLocation,
    LocationAnswer,
    TakeOverLocation,
)
from .locations import LocationRecord, LocationTable

__all__ = ['FindHomes', 'Home', 'PeerDirectory', 'answer_location']

_HOME_TIMEOUT_S = 0.6
_GRACE_S = 0.05

LocationQuestion: TypeAlias = ClaimLocation | FindLocation | TakeOverLocation


@dataclasses.dataclass(frozen=True)
class Home:
    """
    A daemon that keeps the record of a request.

    :param name: name of the daemon.
    :param address: address for peers.
    """

    name: str
    address: Address


FindHomes: TypeAlias = Callable[[str], tuple[Home, ...]]


def answer_location(
    table: LocationTable, question: LocationQuestion, now_s: float
) -> LocationAnswer:
    """
    Answer as the home of a request.

    :param table: the records kept here.
    :param question: what is asked.
    :param now_s: time in seconds.
    """
    match question:
        case ClaimLocation():
            return LocationAnswer(table.claim(question.record, now_s))
        case FindLocation():
            return LocationAnswer(table.find(question.request_key, now_s))
        case TakeOverLocation():
            table.take_over(question.record, now_s)
            return LocationAnswer(question.record)


class PeerDirectory:
    """
    Asks the homes of a request, in two failure domains where there are two.

    A home that does not answer is done without; with none left the daemon
    relies on its own table.

    :param own: name of this daemon.
    :param table: records kept by this daemon.
    :param find_homes: gives the homes of a request.
    :param client: streams to peers.
    """

    def __init__(
        self,
        own: str,
        table: LocationTable,
        find_homes: FindHomes,
        client: PeerClient,
    ) -> None:
        self._own = own
        self._table = table
        self._find_homes = find_homes
        self._client = client

    async def claim(self, offered: LocationRecord) -> LocationRecord:
        """Offer a record and return the one that holds."""
        question = ClaimLocation(offered)
        records = await self._ask_homes(offered.request_key, question)
        known = [record for record in records if record != offered]
        return _latest(known) or offered

    async def take_over(self, offered: LocationRecord) -> None:
        """Make this daemon look after an attempt it reads."""
        question = TakeOverLocation(offered)
        await self._ask_homes(offered.request_key, question)

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, if any home knows it."""
        question = FindLocation(request_key)
        return _latest(await self._ask_homes(request_key, question))

    async def _ask_homes(
        self, request_key: str, question: LocationQuestion
    ) -> list[LocationRecord]:
        asking = {
            asyncio.create_task(self._ask(home, question))
            for home in self._find_homes(request_key)
        }
        records: list[LocationRecord] = []
        while asking:
            # One answer is enough, but the other home gets a moment more.
            patience_s = _GRACE_S if records else _HOME_TIMEOUT_S
            done, asking = await asyncio.wait(
                asking,
                timeout=patience_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            found = [task.result() for task in done]
            records.extend(each for each in found if each is not None)
        for task in asking:
            task.cancel()
        return records

    async def _ask(
        self, home: Home, question: LocationQuestion
    ) -> LocationRecord | None:
        if home.name == self._own:
            now_s = asyncio.get_running_loop().time()
            return answer_location(self._table, question, now_s).record
        try:
            answer = await self._client.ask(
                home.address, question, _HOME_TIMEOUT_S
            )
        except BronzesillError:
            return None
        if isinstance(answer, LocationAnswer):
            return answer.record
        return None


def _latest(records: list[LocationRecord]) -> LocationRecord | None:
    if not records:
        return None
    # Two homes may differ after a partition: all daemons settle alike.
    return max(records, key=lambda record: (record.attempt, record.owner))
