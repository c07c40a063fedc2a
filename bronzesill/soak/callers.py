"""Callers that look hosts up, keep connections and hold old addresses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Coroutine, Mapping

import orjson

from ..utils import Address
from .connection import CallerConnection
from .load_configuration import BULK_ROUTE, EAGER_ACCOUNT
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
_REPEAT_PAUSE_S = 0.02
_REPEATING_STREAMS = 8
_REFUSALS = frozenset((429, 503))
_RATES_PER_S = (
    (RequestKind.STREAM, 3.5),
    (RequestKind.ORDER, 8.0),
    (RequestKind.CHECK, 8.0),
)


class Caller:
    """
    One caller of a client account.

    :param rng: source of random choices.
    :param directories: addresses that answer look-ups.
    :param hosts_by_address: number of the host at each address.
    :param is_stubborn: whether it uses open connections until they close,
        also to hosts that are no longer listed.
    :param account: name of the client account.
    """

    def __init__(
        self,
        rng: random.Random,
        directories: tuple[Address, ...],
        hosts_by_address: Mapping[Address, int],
        *,
        is_stubborn: bool,
        account: str,
    ) -> None:
        self.account = account
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
    :param accounts: client accounts, given to the callers in turn.
    """

    def __init__(
        self,
        seed: int,
        directories: tuple[Address, ...],
        hosts_by_address: Mapping[Address, int],
        accounts: tuple[str, ...],
    ) -> None:
        self._seed = seed
        rng = random.Random(seed)
        self._callers = [
            Caller(
                random.Random(rng.random()),
                directories,
                hosts_by_address,
                is_stubborn=bool(number % 2),
                account=accounts[number % len(accounts)],
            )
            for number in range(_CALLERS)
        ]
        self._eager = Caller(
            random.Random(f'{seed}-eager'),
            directories,
            hosts_by_address,
            is_stubborn=False,
            account=EAGER_ACCOUNT,
        )
        self._requests: set[asyncio.Task[object]] = set()
        #: Ends of all requests.
        self.answers_by_request: dict[Sent, Answer] = {}
        #: Requests that no host took.
        self.unsent = 0
        self._sent = 0

    async def run(self, bulk_rate_per_s: float) -> None:
        """Send requests of all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind, rate_per_s in _RATES_PER_S:
                group.create_task(self.send_kind(kind, rate_per_s))
            if bulk_rate_per_s:
                group.create_task(
                    self.send_kind(
                        RequestKind.STREAM, bulk_rate_per_s, BULK_ROUTE
                    )
                )

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._requests)
        for caller in (*self._callers, self._eager):
            caller.close()

    async def send_kind(
        self, kind: RequestKind, rate_per_s: float, route: str = ''
    ) -> None:
        """
        Send requests until cancelled.

        :param kind: kind of the requests.
        :param rate_per_s: mean number of requests a second.
        :param route: name of the route, empty for the usual one of the kind.
        """
        source = f'{route}-{rate_per_s}' if route else kind.value
        rng = random.Random(f'{self._seed}-{source}')
        while True:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            request = choose_request(rng, kind, self._new_id(rng), route)
            self._start(self._call(rng.choice(self._callers), request))

    def repeat(self, route: str, for_s: float) -> None:
        """
        Let one caller send streams, and again at once what was refused.

        :param route: name of the route.
        :param for_s: time in seconds until the last request is sent.
        """
        until_s = time.monotonic() + for_s
        for number in range(_REPEATING_STREAMS):
            rng = random.Random(f'{self._seed}-repeat-{number}')
            self._start(self._repeat(rng, route, until_s))

    async def _repeat(
        self, rng: random.Random, route: str, until_s: float
    ) -> None:
        kind = RequestKind.STREAM
        request = choose_request(rng, kind, self._new_id(rng), route)
        while time.monotonic() < until_s:
            answer = await self._call(self._eager, request)
            request_id = self._new_id(rng)
            if answer is not None and answer.status in _REFUSALS:
                request = dataclasses.replace(request, request_id=request_id)
            else:
                request = choose_request(rng, kind, request_id, route)
            # Connections that no host takes fail without a pause.
            await asyncio.sleep(_REPEAT_PAUSE_S)

    def _start(self, work: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(work)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    def _new_id(self, rng: random.Random) -> str:
        self._sent += 1
        return f'{rng.getrandbits(32):08x}{self._sent:08x}'

    async def _call(self, caller: Caller, request: Request) -> Answer | None:
        connection = await caller.connect()
        if connection is None:
            self.unsent += 1
            return None
        is_kept = connection.served > 0
        began_at_s = time.monotonic()
        try:
            await connection.send(
                request.head(caller.account), request.parts, request.pause_s
            )
        except OSError:
            self.unsent += 1
            connection.close()
            return None
        sent = Sent(
            request.request_id,
            request.kind,
            connection.host,
            began_at_s,
            time.monotonic(),
            request.timeout_s,
            is_kept,
            request.is_chunked,
            request.route,
            caller.account,
        )
        raw = await connection.receive(request.timeout_s + _PATIENCE_S)
        answer = describe_answer(request, raw, time.monotonic())
        self.answers_by_request[sent] = answer
        if raw.allows_reuse:
            caller.keep(connection)
        else:
            connection.close()
        return answer


def _decode_lookup(body: bytes) -> tuple[list[Address], float]:
    document = orjson.loads(body)
    addresses = [
        Address.from_text(text) for text in document.get('addresses', ())
    ]
    return addresses, float(document.get('ttlS', 0))
