"""What a hosted daemon knows from the store: configuration and servers."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from ..config import BackendServer, Document, ListedServer
from ..gateway import GatewayState
from ..platform import (
    CONFIGURATION_KEY,
    SERVER_PREFIX,
    decode_document,
    decode_server,
    server_name,
)
from ..replica import Merge, Replica, merge, replace_prefix
from ..routing import Listing, ServerBook, ServerRestart
from ..store import Snapshot, StoredEntry
from ..utils import DocumentInvalid, PartLogger

__all__ = ['HostedKnowledge']

_SETTLE_S = 0.25

_log = PartLogger('knowledge')


class HostedKnowledge:
    """
    Owner of the replica and of what follows from it.

    :param state: configuration as the gateway sees it.
    :param book: what is known of the backend servers.
    :param on_news: told of entries that were news.
    """

    def __init__(
        self,
        state: GatewayState,
        book: ServerBook,
        on_news: Callable[[tuple[StoredEntry, ...]], None],
    ) -> None:
        self.replica = Replica()
        self.listing = Listing()
        self._state = state
        self._book = book
        self._on_news = on_news
        self._news = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and some servers are known."""
        has_servers = bool(self.listing.listed_by_name)
        return self._state.document is not None and has_servers

    def take_snapshot(self, prefix: str, snapshot: Snapshot) -> None:
        """Take in all keys below a prefix."""
        self._take(replace_prefix(self.replica, prefix, snapshot))

    def take_entries(self, entries: tuple[StoredEntry, ...]) -> None:
        """Take in changes."""
        self._take(merge(self.replica, entries))

    def note_reached(self, is_reached: bool) -> None:
        """Take in whether the store answers."""
        self.listing = self.listing.reached(
            is_reached=is_reached, now_s=_now_s()
        )

    def note_other_server(self, name: str) -> None:
        """Take in that another server answers at a server's address."""
        if name in self.listing.listed_by_name:
            _log.info('%s is gone: another server has its address', name)
            self.listing = self.listing.written(name, None)
            self._refresh_servers()

    def note_restart(self, restart: ServerRestart) -> None:
        """Take in that a server started anew, before its entry is read."""
        renewed = self.listing.restarted(restart, _now_s())
        if renewed is self.listing:
            return
        self.listing = renewed
        self._book.restarts = (*self._book.restarts, restart)
        _log.event(
            'server_restarted', before=restart.before, server=restart.name
        )
        self._refresh_servers()

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check, empty for none."""
        document = self._state.document
        known = document.services.get(service) if document else None
        return known.health_path if known else ''

    async def wait_above(self, revision: int) -> None:
        """Wait until a change after a revision is known."""
        while self.replica.last_revision <= revision:
            await self._news.wait()

    async def settle(self) -> None:
        """Drop servers that stayed missing, for ever."""
        while True:
            await asyncio.sleep(_SETTLE_S)
            settled = self.listing.settled(_now_s())
            if settled is not self.listing:
                self.listing = settled
                self._refresh_servers()

    def _take(self, merged: Merge) -> None:
        self.replica = merged.replica
        if not merged.news:
            return
        before = self.listing
        for entry in merged.news:
            self._apply(entry)
        if self.listing is not before:
            self._refresh_servers()
        self._news.set()
        self._news = asyncio.Event()
        self._on_news(merged.news)

    def _apply(self, entry: StoredEntry) -> None:
        if entry.key == CONFIGURATION_KEY:
            self._adopt(entry)
        elif entry.key.startswith(SERVER_PREFIX):
            self._note_server(server_name(entry.key), entry)

    def _adopt(self, entry: StoredEntry) -> None:
        if entry.is_removed:
            _log.warning('the configuration is removed; the last one holds')
            return
        try:
            document = decode_document(entry.payload)
        except DocumentInvalid as error:
            _log.error('revision %s refused: %s', entry.mod_revision, error)
            return
        self._state.document = document
        _log.info('configuration of revision %s in force', entry.mod_revision)
        self._refresh_servers()

    def _note_server(self, name: str, entry: StoredEntry) -> None:
        if entry.is_removed:
            self.listing = self.listing.removed(name, _now_s())
            return
        listed = decode_server(entry.payload)
        known = self.listing.listed_by_name.get(name)
        if listed == known and name not in self.listing.missing:
            return
        is_confirmed = name in self.listing.missing
        if _is_new_start(known, listed) and not is_confirmed:
            self._book.forget(name)
        self.listing = self.listing.written(name, listed)

    def _refresh_servers(self) -> None:
        listed_by_name = self.listing.listed_by_name
        self._book.restarts = tuple(
            restart
            for restart in self._book.restarts
            if restart.name in self.listing.missing
        )
        self._book.replace_servers(
            {
                name: _as_used(listed.server, self._state.document)
                for name, listed in listed_by_name.items()
            }
        )
        for name, listed in listed_by_name.items():
            self._book.set_leaving(name, is_leaving=listed.is_leaving)


def _is_new_start(
    known: ListedServer | None, listed: ListedServer | None
) -> bool:
    if known is None or listed is None:
        return False
    return known.server.started_at_s != listed.server.started_at_s


def _as_used(server: BackendServer, document: Document | None) -> BackendServer:
    service = document.services.get(server.service) if document else None
    if service is None or service.engine is None:
        return server
    # An engine serves the model that is named like its service.
    return dataclasses.replace(
        server,
        model=server.service,
        service='',
        memory_tokens=service.engine.memory_tokens,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
