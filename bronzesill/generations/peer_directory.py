"""
Location records stored on peer daemons.

Rendezvous hashing assigns each request to the daemons that keep its record,
its home daemons.
"""

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

__all__ = ['FindHomes', 'HomeDaemon', 'PeerDirectory', 'handle_location_query']

_HOME_TIMEOUT_S = 0.6
_EXTRA_REPLY_TIMEOUT_S = 0.05

LocationQuery: TypeAlias = ClaimLocation | FindLocation | TakeOverLocation


@dataclasses.dataclass(frozen=True)
class HomeDaemon:
    """
    Daemon that keeps the location record of a request.

    :param name: name of the daemon.
    :param address: address for connections of peers.
    """

    name: str
    address: Address


FindHomes: TypeAlias = Callable[[str], tuple[HomeDaemon, ...]]


def handle_location_query(
    table: LocationTable, query: LocationQuery, now_s: float
) -> LocationAnswer:
    """
    Apply a query to the records of this daemon.

    :param table: records of this daemon.
    :param query: query to answer.
    :param now_s: current time, in seconds.
    :returns: the record in force, or None if there is none; for
        ``TakeOverLocation``, the record of the query.
    """
    match query:
        case ClaimLocation():
            return LocationAnswer(table.claim(query.record, now_s))
        case FindLocation():
            return LocationAnswer(table.find(query.request_key, now_s))
        case TakeOverLocation():
            table.take_over(query.record, now_s)
            return LocationAnswer(query.record)


class PeerDirectory:
    """
    Directory that queries the home daemons of each request.

    The home daemons are in two failure domains if there are at least two. A
    home daemon that does not reply is ignored. If none replies, :meth:`claim`
    returns the proposed record and :meth:`find` returns None.

    :param own_name: name of this daemon.
    :param table: records of this daemon.
    :param find_homes: returns the home daemons of a request key.
    :param client: client for queries to peers.
    """

    def __init__(
        self,
        own_name: str,
        table: LocationTable,
        find_homes: FindHomes,
        client: PeerClient,
    ) -> None:
        self._own_name = own_name
        self._table = table
        self._find_homes = find_homes
        self._client = client

    async def claim(self, proposed: LocationRecord) -> LocationRecord:
        """Store a record unless another takes precedence; return the winner."""
        query = ClaimLocation(proposed)
        records = await self._query_homes(proposed.request_key, query)
        other_records = [record for record in records if record != proposed]
        return _newest(other_records) or proposed

    async def take_over(self, proposed: LocationRecord) -> None:
        """Make the owner in the record the owner of the attempt."""
        query = TakeOverLocation(proposed)
        await self._query_homes(proposed.request_key, query)

    async def find(self, request_key: str) -> LocationRecord | None:
        """Return the record of a request, or None if no home daemon has it."""
        query = FindLocation(request_key)
        return _newest(await self._query_homes(request_key, query))

    async def _query_homes(
        self, request_key: str, query: LocationQuery
    ) -> list[LocationRecord]:
        pending = {
            asyncio.create_task(self._query_home(home, query))
            for home in self._find_homes(request_key)
        }
        records: list[LocationRecord] = []
        while pending:
            # One reply is sufficient. The other home daemon gets a short
            # time to reply, because its record may be newer.
            timeout_s = _EXTRA_REPLY_TIMEOUT_S if records else _HOME_TIMEOUT_S
            done, pending = await asyncio.wait(
                pending,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            replies = [task.result() for task in done]
            records.extend(record for record in replies if record is not None)
        for task in pending:
            task.cancel()
        return records

    async def _query_home(
        self, home: HomeDaemon, query: LocationQuery
    ) -> LocationRecord | None:
        if home.name == self._own_name:
            now_s = asyncio.get_running_loop().time()
            return handle_location_query(self._table, query, now_s).record
        try:
            answer = await self._client.request(
                home.address, query, _HOME_TIMEOUT_S
            )
        except BronzesillError:
            return None
        if isinstance(answer, LocationAnswer):
            return answer.record
        return None


def _newest(records: list[LocationRecord]) -> LocationRecord | None:
    if not records:
        return None
    # The home daemons may disagree after a network partition. Ordering by
    # attempt and owner makes all daemons choose the same record.
    return max(records, key=lambda record: (record.attempt, record.owner))
