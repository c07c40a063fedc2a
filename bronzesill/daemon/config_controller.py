"""Controller of the configuration in force on one daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from ..config import Document
from ..config.messages import ConfigAnswer, FetchConfig
from ..config.overlay import build_document
from ..config.repository import CONFIG_KEY, ConfigRepository, parse_stored
from ..config.revision import Revision, StoredConfig, should_adopt
from ..store import KeyValueStore
from ..utils import Address, BronzesillError, DocumentInvalid, PartLogger
from ..wire import PeerClient

__all__ = ['ConfigController', 'RevisionAnnouncement']

_RETRY_S = 1.0
_POLL_INTERVAL_S = 120.0
_FETCH_TIMEOUT_S = 2.0

_log = PartLogger('config')


@dataclasses.dataclass(frozen=True)
class RevisionAnnouncement:
    """
    Announcement of a configuration revision by a peer.

    :param number: revision number.
    :param source: address of a peer to fetch the revision from.
    """

    number: int
    source: Address


ConfigUpdate: TypeAlias = StoredConfig | RevisionAnnouncement


class ConfigController:
    """
    Keeps the configuration in force on this daemon up to date.

    :param store: key-value store of the platform.
    :param client: client for requests to peers.
    :param site: name of the site whose overlay applies.
    :param on_adopted: called with each document that comes into force and its
        revision.
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
        self.updates: asyncio.Queue[ConfigUpdate] = asyncio.Queue()
        self._repository = ConfigRepository(store)
        self._store = store
        self._client = client
        self._site = site
        self._on_adopted = on_adopted
        self._random = random

    async def run(self) -> None:
        """Process queued updates one after the other until cancelled."""
        while True:
            update = await self.updates.get()
            if isinstance(update, RevisionAnnouncement):
                await self._fetch(update)
            else:
                await self._consider_config(update)

    async def follow_store(self, should_watch: Callable[[], bool]) -> None:
        """
        Follow the configuration in the store until cancelled.

        :param should_watch: returns whether this daemon is one of the few
            that watch the store; the others poll it every one to three
            minutes once they have a configuration.
        """
        while True:
            is_watcher = should_watch()
            try:
                await self.poll()
                if is_watcher:
                    await self._restore_lost()
                    await self._watch()
            except BronzesillError as error:
                _log.warning('configuration could not be read: %s', error)
            is_waiting = is_watcher or self.stored is None
            interval_s = _RETRY_S if is_waiting else _POLL_INTERVAL_S
            await asyncio.sleep(interval_s * (0.5 + self._random.random()))

    async def poll(self) -> None:
        """Read the configuration from the store once."""
        stored = await self._repository.read()
        if stored is not None:
            self.updates.put_nowait(stored.config)

    def answer_fetch(self, request: FetchConfig) -> ConfigAnswer:
        """Answer a peer with the configuration if the peer has an older one."""
        if self.stored is None or self.stored.number <= request.newer_than:
            return ConfigAnswer(None)
        return ConfigAnswer(self.stored)

    async def _restore_lost(self) -> None:
        """Write the configuration in force again if the store has lost it."""
        lost = self.stored
        current = await self._repository.read()
        number = current.config.number if current else 0
        if lost is None or number >= lost.number:
            return
        is_stored = await self._repository.write_again(current, lost)
        _log.event(
            'configuration_restored',
            number=lost.number,
            stored_before=number,
            is_stored=is_stored,
        )

    async def _watch(self) -> None:
        async for entry in self._store.watch(CONFIG_KEY):
            self.updates.put_nowait(parse_stored(entry.payload))

    async def _fetch(self, announcement: RevisionAnnouncement) -> None:
        if announcement.number <= self.revision.number:
            return
        request = FetchConfig(self.revision.number)
        try:
            answer = await self._client.request(
                announcement.source, request, _FETCH_TIMEOUT_S
            )
        except BronzesillError as error:
            _log.warning(
                'revision %s could not be fetched: %s',
                announcement.number,
                error,
            )
            return
        if isinstance(answer, ConfigAnswer) and answer.config is not None:
            await self._consider_config(answer.config)

    async def _consider_config(self, config: StoredConfig) -> None:
        if not should_adopt(self.revision, config.revision):
            return
        if config.revision == self.rejected:
            return
        try:
            # Runs in a thread, as a large document would delay streamed tokens.
            document = await asyncio.to_thread(
                build_document,
                config.base,
                config.overlays.get(self._site, ''),
            )
        except DocumentInvalid as error:
            self.rejected = config.revision
            _log.error('revision %s rejected: %s', config.number, error)
            return
        self.stored = config
        self.revision = config.revision
        self.adopted_at_s = time.time()
        _log.info('revision %s in force', config.number)
        self._on_adopted(document, self.revision)
