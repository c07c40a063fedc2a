"""Callers that look hosts up, keep connections and hold old addresses."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Mapping

import orjson

from ..utils import Address
from .connection import CallerConnection
from .observations import Answer, RequestKind, Sent
from .requests import (
    SERVICE_NAME,
    Request,
    choose_request,
    describe_answer,
)

__all__ = ['Caller', 'Traffic']

_CALLERS = 12
_LOOKUP_TRIES = 3
_LOOKUP_TIMEOUT_S = 1.0
#: Some callers hold addresses for three times as long as they may.
_HELD_FACTORS = (1, 3)
_MAX_HELD_S = 6.0
_KEPT_SHARE = 0.7
_CONNECT_TRIES = 3
#: Time beyond the deadline for which callers wait.
_PATIENCE_S = 1.0
_RATES_PER_S = (
    (RequestKind.STREAM, 3.5),
    (RequestKind.ORDER, 8.0),
    (RequestKind.CHECK, 8.0),
)


class Caller:
    """
    One client account.

    :param rng: source of random choices.
    :param directories: addresses that answer look-ups.
    :param hosts_by_address: number of the host at each address.
    :param is_stubborn: whether it uses open connections until they close,
        also to hosts that are no longer listed.
    """

    def __init__(
        self,
        rng: random.Random,
        directories: tuple[Address, ...],
        hosts_by_address: Mapping[Address, int],
        *,
        is_stubborn: bool,
    ) -> None:
        self._rng = rng
        self._directories = directories
        self._hosts_by_address = hosts_by_address
        self._is_stubborn = is_stubborn
        self._held_factor = rng.choice(_HELD_FACTORS)
        self._addresses: list[Address] = []
        self._held_until_s: float = 0
        self._idle: list[CallerConnection] = []

    async def connect(self) -> CallerConnection | None:
        """Return a kept or a new connection, none if all attempts failed."""
        await self._refresh()
        kept = self._take_kept()
        if kept is not None:
            return kept
        for _ in range(_CONNECT_TRIES):
            if not self._addresses:
                return None
            address = self._rng.choice(self._addresses)
            try:
                return await CallerConnection.open(
                    self._hosts_by_address[address], address
                )
            except (OSError, TimeoutError):
                self._exclude(address)
        return None

    def keep(self, connection: CallerConnection) -> None:
        """Keep a connection for later requests."""
        self._idle.append(connection)

    def close(self) -> None:
        """Close all kept connections."""
        for connection in self._idle:
            connection.close()

    def _take_kept(self) -> CallerConnection | None:
        self._idle = [
            connection for connection in self._idle if not connection.is_closed
        ]
        if not self._idle or self._rng.random() > _KEPT_SHARE:
            return None
        place = self._rng.randrange(len(self._idle))
        return self._idle.pop(place)

    def _exclude(self, failed: Address) -> None:
        self._addresses = [
            address for address in self._addresses if address != failed
        ]

    async def _refresh(self) -> None:
        if time.monotonic() < self._held_until_s and self._addresses:
            return
        for _ in range(_LOOKUP_TRIES):
            answer = await self._look_up(self._rng.choice(self._directories))
            if answer is not None:
                self._hold(*answer)
                return

    def _hold(self, addresses: list[Address], ttl_s: float) -> None:
        held_s = min(ttl_s * self._held_factor, _MAX_HELD_S)
        self._addresses = addresses
        self._held_until_s = time.monotonic() + held_s
        if self._is_stubborn:
            return
        listed = {self._hosts_by_address[address] for address in addresses}
        for connection in self._idle:
            if connection.host not in listed:
                connection.close()

    async def _look_up(
        self, directory: Address
    ) -> tuple[list[Address], float] | None:
        head = (
            f'GET /v1/lookup?name={SERVICE_NAME}&region=r&zone=a HTTP/1.1'
            f'\r\nHost: {directory}\r\n\r\n'
        )
        with contextlib.suppress(OSError, TimeoutError):
            connection = await CallerConnection.open(0, directory)
            with contextlib.closing(connection):
                await connection.send(head.encode(), (), 0)
                raw = await connection.receive(_LOOKUP_TIMEOUT_S)
            if raw.is_complete and raw.body:
                return _decode_lookup(raw.body)
        return None


class Traffic:
    """
    Seeded traffic of all kinds of requests.

    :param seed: seed of all random choices.
    :param directories: addresses that answer look-ups.
    :param hosts_by_address: number of the host at each address.
    """

    def __init__(
        self,
        seed: int,
        directories: tuple[Address, ...],
        hosts_by_address: Mapping[Address, int],
    ) -> None:
        self._seed = seed
        rng = random.Random(seed)
        self._callers = [
            Caller(
                random.Random(rng.random()),
                directories,
                hosts_by_address,
                is_stubborn=bool(number % 2),
            )
            for number in range(_CALLERS)
        ]
        self._requests: set[asyncio.Task[None]] = set()
        #: Ends of all requests.
        self.answers_by_request: dict[Sent, Answer] = {}
        #: Requests that no host took.
        self.unsent = 0

    async def run(self) -> None:
        """Send requests of all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind, rate_per_s in _RATES_PER_S:
                group.create_task(self._send_kind(kind, rate_per_s))

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._requests)
        for caller in self._callers:
            caller.close()

    async def _send_kind(self, kind: RequestKind, rate_per_s: float) -> None:
        rng = random.Random(f'{self._seed}-{kind.value}')
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            number += 1
            request_id = f'{rng.getrandbits(32):08x}{number:08x}'
            request = choose_request(rng, kind, request_id)
            task = asyncio.create_task(
                self._call(rng.choice(self._callers), request)
            )
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _call(self, caller: Caller, request: Request) -> None:
        connection = await caller.connect()
        if connection is None:
            self.unsent += 1
            return
        is_kept = connection.served > 0
        began_at_s = time.monotonic()
        try:
            await connection.send(request.head, request.parts, request.pause_s)
        except OSError:
            self.unsent += 1
            connection.close()
            return
        sent = Sent(
            request.request_id,
            request.kind,
            connection.host,
            began_at_s,
            time.monotonic(),
            request.timeout_s,
            is_kept,
            request.is_chunked,
        )
        raw = await connection.receive(request.timeout_s + _PATIENCE_S)
        answer = describe_answer(request, raw, time.monotonic())
        self.answers_by_request[sent] = answer
        if raw.allows_reuse:
            caller.keep(connection)
        else:
            connection.close()


def _decode_lookup(body: bytes) -> tuple[list[Address], float]:
    document = orjson.loads(body)
    addresses = [
        Address.from_text(text) for text in document.get('addresses', ())
    ]
    return addresses, float(document.get('ttlS', 0))
