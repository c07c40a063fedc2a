"""Controller of the configuration in force on one daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..config import (
    CONFIG_KEY,
    ConfigAnswer,
    ConfigRepository,
    Document,
    FetchConfig,
    Revision,
    StoredConfig,
    build_document,
    parse_stored,
    should_adopt,
)
from ..store import KeyValueStore
from ..utils import Address, BronzesillError, DocumentInvalid, PartLogger
from ..wire import PeerClient

__all__ = ['ConfigKeeper', 'RevisionHeard']

_RETRY_S = 1.0
_POLL_INTERVAL_S = 120.0
_FETCH_TIMEOUT_S = 2.0

_log = PartLogger('config')


@dataclasses.dataclass(frozen=True)
class RevisionHeard:
    """
    Word of a revision from a peer.

    :param number: revision number.
    :param source: address of the peer that has it.
    """

    number: int
    source: Address


Mail: TypeAlias = StoredConfig | RevisionHeard


class ConfigKeeper:
    """
    Owner of the configuration in force.

    :param store: the platform's key-value service.
    :param client: streams to peers.
    :param site: site whose overlay applies.
    :param on_adopted: told each time another document is in force.
    :param random: generator for jitter.
    """

    def __init__(
        self,
        store: KeyValueStore,
        client: PeerClient,
        site: str,
        on_adopted: Callable[[Document, Revision], None],
        random: Random,
    ) -> None:
        self.stored: StoredConfig | None = None
        self.revision = Revision()
        self.rejected = Revision()
        self.adopted_at_s: float = 0
        self.mailbox: asyncio.Queue[Mail] = asyncio.Queue()
        self._repository = ConfigRepository(store)
        self._store = store
        self._client = client
        self._site = site
        self._on_adopted = on_adopted
        self._random = random

    async def run(self) -> None:
        """Adopt what is offered, one after the other, for ever."""
        while True:
            mail = await self.mailbox.get()
            if isinstance(mail, RevisionHeard):
                await self._fetch(mail)
            else:
                await self._consider(mail)

    async def follow_store(self, should_watch: Callable[[], bool]) -> None:
        """
        Follow the store, for ever.

        :param should_watch: whether this daemon is one of the few that hold
            a watch; the others only poll, slowly.
        """
        while True:
            is_watcher = should_watch()
            try:
                await self.poll()
                if is_watcher:
                    await self._watch()
            except BronzesillError as error:
                _log.warning('store: %s', error)
            is_waiting = is_watcher or self.stored is None
            interval_s = _RETRY_S if is_waiting else _POLL_INTERVAL_S
            await asyncio.sleep(interval_s * (0.5 + self._random.random()))

    async def poll(self) -> None:
        """Read the store once."""
        held = await self._repository.read()
        if held is not None:
            self.mailbox.put_nowait(held.config)

    def answer_fetch(self, question: FetchConfig) -> ConfigAnswer:
        """Hand the configuration to a peer that has an older one."""
        if self.stored is None or self.stored.number <= question.above:
            return ConfigAnswer(None)
        return ConfigAnswer(self.stored)

    async def _watch(self) -> None:
        async for entry in self._store.watch(CONFIG_KEY):
            self.mailbox.put_nowait(parse_stored(entry.payload))

    async def _fetch(self, heard: RevisionHeard) -> None:
        if heard.number <= self.revision.number:
            return
        question = FetchConfig(self.revision.number)
        try:
            answer = await self._client.ask(
                heard.source, question, _FETCH_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.warning('revision %s not fetched: %s', heard.number, error)
            return
        if isinstance(answer, ConfigAnswer) and answer.config is not None:
            await self._consider(answer.config)

    async def _consider(self, config: StoredConfig) -> None:
        if not should_adopt(self.revision, config.revision):
            return
        if config.revision == self.rejected:
            return
        try:
            # In a thread, so that a large document does not hold up tokens.
            document = await asyncio.to_thread(
                build_document,
                config.base,
                config.overlays.get(self._site, ''),
            )
        except DocumentInvalid as error:
            self.rejected = config.revision
            _log.error('revision %s refused: %s', config.number, error)
            return
        self.stored = config
        self.revision = config.revision
        self.adopted_at_s = time.time()
        _log.info('revision %s in force', config.number)
        self._on_adopted(document, self.revision)
