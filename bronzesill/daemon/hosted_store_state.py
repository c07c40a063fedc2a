"""Configuration and backend servers as a hosted daemon replicates them."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import math
from collections.abc import Callable
from operator import attrgetter

from ..config import (
    BackendServer,
    Document,
    RegisteredServer,
    VersionedDocument,
)
from ..gateway import GatewayState
from ..platform.documents import CONFIGURATION_KEY, decode_document
from ..platform.servers import SERVER_PREFIX, decode_server, server_name
from ..replica import (
    MergeResult,
    Replica,
    ReplicaAnswer,
    ReplicaEntry,
    complete_to,
    merge_answer,
    merge_changes,
    merge_snapshot,
)
from ..routing import ServerListing, ServerRestart, ServerTracker
from ..store import Snapshot, StoredEntry, StoreRevision
from ..utils import DocumentInvalid, PartLogger
from .leaving_notices import HeardNotices, LeavingNotice
from .task_runner import handle_each

__all__ = ['HostedStoreState']

_EXPIRY_CHECK_INTERVAL_S = 0.25
_MAX_UNREADABLE_LOGGED = 256
_MAX_KEY_CHARS = 200

_log = PartLogger('knowledge')


class HostedStoreState:
    """
    The daemon's replica of the store and the state derived from it.

    :param state: state of the gateway, which receives the configuration.
    :param tracker: state of the backend servers.
    :param on_new_entries: called with the entries that were newer than the
        replica.
    """

    def __init__(
        self,
        state: GatewayState,
        tracker: ServerTracker,
        on_new_entries: Callable[[tuple[StoredEntry, ...]], None],
    ) -> None:
        self.replica = Replica()
        #: Time at which the store last confirmed what is known here.
        self.confirmed_at_s = -math.inf
        self.listing = ServerListing()
        self._state = state
        self._tracker = tracker
        self._on_new_entries = on_new_entries
        self._changed = asyncio.Event()
        #: Called with the version in force when the store shows an older one.
        self.on_older_configuration: Callable[[int], None] = _ignore
        #: Called when the store has come back from an older copy.
        self.on_return: Callable[[], None] = _ignore
        #: Called with the name of a step of the start that is reached.
        self.log_start_step: Callable[[str], None] = _ignore
        #: Called when the configuration or the listed servers have changed.
        self.on_refresh: Callable[[], None] = _ignore
        self._configuration: _ConfigurationInForce | None = None
        #: Servers that said in an answer that they leave; their entries may
        #: not say it yet.
        self._said_leaving: frozenset[str] = frozenset()
        #: Called when a server has said in an answer that it leaves.
        self.on_leaving: Callable[[LeavingNotice], None] = _ignore
        self._heard_leaving = HeardNotices()
        #: Keys of the unreadable entries that were logged.
        self._unreadable: frozenset[str] = frozenset()

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and at least one server are known."""
        has_servers = bool(self.listing.listed_by_name)
        return self._state.document is not None and has_servers

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self._configuration.version if self._configuration else 0

    def configuration_newer_than(self, version: int) -> ReplicaEntry | None:
        """Return the configuration in force if its version is higher."""
        if self._configuration is None or self.configuration_version <= version:
            return None
        return ReplicaEntry.from_stored(self._configuration.entry)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace all keys by those of a snapshot."""
        self.log_start_step('store_read')
        self._apply_merge(merge_snapshot(self.replica, snapshot))

    def apply_entries(self, entries: tuple[StoredEntry, ...]) -> None:
        """Merge the next changes of the store into the replica."""
        self._apply_merge(merge_changes(self.replica, entries))

    def apply_answer(self, answer: ReplicaAnswer) -> None:
        """
        Merge the answer of a peer into the replica.

        :raises zlib.error: an entry cannot be decompressed.
        """
        self._apply_merge(merge_answer(self.replica, answer))
        if answer.configuration is not None:
            self._adopt_document(answer.configuration.to_stored())

    def confirm(self, revision: StoreRevision, confirmed_at_s: float) -> None:
        """
        Record that the store confirmed what is known here.

        :param revision: revision up to which the store told of all changes.
        :param confirmed_at_s: time at which it did, at this host or another.
        """
        if revision.era != self.replica.era:
            return
        self.replica = complete_to(self.replica, revision)
        if confirmed_at_s > self.confirmed_at_s:
            self.confirmed_at_s = confirmed_at_s
            self._wake_waiting()

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Record whether the store answers."""
        self.listing = self.listing.with_store_state(
            is_reached=is_reachable, now_s=_now_s()
        )

    def remove_replaced_server(self, name: str) -> None:
        """Remove a server at whose address another server answers."""
        if name in self.listing.listed_by_name:
            _log.info('%s is gone: another server has its address', name)
            self.listing = self.listing.with_entry(name, None)
            self._refresh_servers()

    def note_leaving(self, name: str) -> None:
        """Use a server for no further request, as its answers ask."""
        listed = self.listing.listed_by_name.get(name)
        if listed is None or name in self._said_leaving:
            return
        _log.event('server_leaving', server=name)
        self._said_leaving |= {name}
        self._refresh_servers()
        self.on_leaving(LeavingNotice.from_server(listed.server, name))

    def note_heard_leaving(self, notice: LeavingNotice) -> None:
        """Use a server for no further request for a time, as a peer asks."""
        if notice.server in self._said_leaving:
            return
        heard = self._heard_leaving.with_notice(notice, _now_s())
        if heard is self._heard_leaving:
            return
        _log.event('server_leaving_heard', server=notice.server)
        self._heard_leaving = heard
        self._refresh_servers()

    def record_restart(self, restart: ServerRestart) -> None:
        """
        Record that a server restarted under a new name.

        The new name takes the place of the old one before an entry for it
        has been read from the store.
        """
        renewed = self.listing.with_restart(restart, _now_s())
        if renewed is self.listing:
            return
        self.listing = renewed
        self._tracker.restarts = (*self._tracker.restarts, restart)
        _log.event(
            'server_restarted',
            before=restart.old_name,
            server=restart.new_name,
        )
        self._refresh_servers()

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check, or an empty string."""
        document = self._state.document
        entry = document.services.get(service) if document else None
        return entry.health_path if entry else ''

    async def wait_for_news(self, revision: StoreRevision) -> None:
        """
        Wait for a revision above the given one, or for a confirmation.

        :param revision: revision up to which all changes are known.
        """
        confirmed_at_s = self.confirmed_at_s
        while (
            self.replica.last_revision <= revision
            and self.confirmed_at_s <= confirmed_at_s
        ):
            await self._changed.wait()

    async def drop_expired_servers(self) -> None:
        """
        Periodically drop servers whose missing entry has not reappeared.

        Also drops what peers told long ago of leaving servers.
        """
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_INTERVAL_S)
            old_listing = self.listing
            self.listing = self.listing.without_expired(_now_s())
            for name in self.listing.released_names(_now_s()):
                self._release_entry(name)
            old_heard = self._heard_leaving
            self._heard_leaving = old_heard.without_expired(_now_s())
            has_expired = self._heard_leaving is not old_heard
            if has_expired or self.listing is not old_listing:
                self._refresh_servers()

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply_merge(self, merged: MergeResult) -> None:
        if merged.ignored_entries:
            _log_ignored(merged)
        has_returned = 0 < self.replica.era < merged.replica.era
        is_later = merged.replica.last_revision > self.replica.last_revision
        self.replica = merged.replica
        if is_later:
            self._wake_waiting()
        if not merged.newer_entries:
            return
        old_listing = self.listing
        if has_returned:
            _log_return(merged)
            self.on_return()
            self.listing = self.listing.with_store_returned(_now_s())
        handle_each(
            merged.newer_entries,
            functools.partial(self._apply_entry, may_be_older=has_returned),
            attrgetter('key'),
        )
        if self.listing is not old_listing:
            self._refresh_servers()
        self._on_new_entries(merged.newer_entries)

    def _apply_entry(self, entry: StoredEntry, *, may_be_older: bool) -> None:
        if entry.key == CONFIGURATION_KEY:
            self._adopt_document(entry)
        elif entry.key.startswith(SERVER_PREFIX):
            self._update_server(entry, may_be_older=may_be_older)

    def _adopt_document(self, entry: StoredEntry) -> None:
        if entry.is_removed:
            _log.warning(
                'configuration removed from the store; keeping the last one'
            )
            return
        in_force = self._configuration
        if in_force is not None and in_force.entry.payload == entry.payload:
            # The answer of a peer holds it twice, and a return of the store
            # shows it again.
            self._configuration = in_force.with_entry(entry)
            return
        try:
            versioned = decode_document(entry.payload)
        except DocumentInvalid as error:
            _log.error('revision %s rejected: %s', entry.revision, error)
            return
        if versioned.version < self.configuration_version:
            self._keep_configuration(entry, versioned)
            return
        self._configuration = _ConfigurationInForce(versioned.version, entry)
        self._state.document = versioned.document
        self._tracker.speeds.are_streams_ranked = (
            versioned.document.are_streams_ranked
        )
        _log.info(
            'configuration of revision %s in force, version %s',
            entry.revision,
            versioned.version,
        )
        self._refresh_servers()

    def _keep_configuration(
        self, entry: StoredEntry, older: VersionedDocument
    ) -> None:
        _log.event(
            'configuration_kept',
            revision=str(entry.revision),
            version=older.version,
            in_force=self.configuration_version,
        )
        self.on_older_configuration(self.configuration_version)

    def _update_server(self, entry: StoredEntry, *, may_be_older: bool) -> None:
        name = server_name(entry.key)
        if entry.is_removed:
            self.listing = self.listing.without_entry(name, _now_s())
            return
        listed = decode_server(entry.payload, name)
        if listed is None:
            self._log_unreadable(entry)
        previous = self.listing.listed_by_name.get(name)
        is_confirmed = name in self.listing.missing
        if listed == previous and not is_confirmed:
            return
        self.listing = (
            self.listing.with_returned_entry(name, listed, _now_s())
            if may_be_older
            else self.listing.with_entry(name, listed)
        )
        renewed = self.listing.listed_by_name.get(name)
        if _is_new_start(previous, renewed) and not is_confirmed:
            self._said_leaving -= {name}
            self._tracker.forget(name)

    def _log_unreadable(self, entry: StoredEntry) -> None:
        """Log once for each key; its writer may write it again and again."""
        is_logged = entry.key in self._unreadable
        if is_logged or len(self._unreadable) >= _MAX_UNREADABLE_LOGGED:
            return
        self._unreadable |= {entry.key}
        _log.event(
            'entry_unreadable',
            key=entry.key[:_MAX_KEY_CHARS],
            revision=str(entry.revision),
            size=len(entry.payload),
            beginning=repr(entry.payload[:_MAX_KEY_CHARS]),
        )

    def _release_entry(self, name: str) -> None:
        """Take the entry of a server as it is, as it outlived its lease."""
        self.listing = self.listing.without_hold(name)
        entry = self.replica.entries_by_key.get(f'{SERVER_PREFIX}{name}')
        if entry is not None and not entry.is_removed:
            self._update_server(entry, may_be_older=False)

    def _refresh_servers(self) -> None:
        listed_by_name = self.listing.listed_by_name
        self._tracker.restarts = tuple(
            restart
            for restart in self._tracker.restarts
            if restart.new_name in self.listing.missing
        )
        self._tracker.replace_servers(
            {
                name: _with_engine_settings(listed.server, self._state.document)
                for name, listed in listed_by_name.items()
            }
        )
        self._said_leaving &= listed_by_name.keys()
        for name, listed in listed_by_name.items():
            is_leaving = (
                listed.is_leaving
                or name in self._said_leaving
                or self._heard_leaving.is_leaving(listed.server, name)
            )
            self._tracker.set_leaving(name, is_leaving=is_leaving)
        self.on_refresh()


@dataclasses.dataclass(frozen=True)
class _ConfigurationInForce:
    """
    Configuration in force with the entry that it was read from.

    :param version: version of the configuration.
    :param entry: entry of the store, possibly of an earlier era.
    """

    version: int
    entry: StoredEntry

    def with_entry(self, entry: StoredEntry) -> _ConfigurationInForce:
        """Return it as read from another entry, if that is newer."""
        if entry.revision <= self.entry.revision:
            return self
        return dataclasses.replace(self, entry=entry)


def _ignore(*_: object) -> None:
    """Ignore an event; the default callback."""


def _log_return(merged: MergeResult) -> None:
    _log.event(
        'store_returned',
        era=merged.replica.era,
        revision=str(merged.replica.last_revision),
        entries=len(merged.newer_entries),
        removed=sum(entry.is_removed for entry in merged.newer_entries),
    )


def _log_ignored(merged: MergeResult) -> None:
    _log.event(
        'entries_ignored',
        count=len(merged.ignored_entries),
        first_key=merged.ignored_entries[0].key,
        revision=str(merged.ignored_entries[-1].revision),
        known_revision=str(merged.replica.last_revision),
    )


def _is_new_start(
    previous: RegisteredServer | None, listed: RegisteredServer | None
) -> bool:
    if previous is None or listed is None:
        return False
    return previous.server.started_at_s != listed.server.started_at_s


def _with_engine_settings(
    server: BackendServer, document: Document | None
) -> BackendServer:
    service = document.services.get(server.service) if document else None
    if service is None or service.engine is None:
        return server
    # An engine serves the model of the same name as its service.
    return dataclasses.replace(
        server,
        model=server.service,
        service='',
        memory_tokens=service.engine.memory_tokens,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
