"""Finds, fleet-wide, the requests that crash servers, and refuses them."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
from collections.abc import Callable
from operator import attrgetter

from ..membership import Member, ViewUpdated, choose_replicas
from ..quarantine import (
    QUARANTINE_PREFIX,
    BlockedSuspects,
    BlockNotice,
    CrashReport,
    Judge,
    Judgement,
    Suspected,
    SuspectRecord,
    SuspectStarted,
    Verdict,
    WatchedSuspects,
    fact_of,
    record_from_entry,
    record_from_fact,
    record_from_text,
    request_identity,
    request_suspect,
    shared_parts,
)
from ..routing import ServerTracker
from ..store import KeyValueStore, StoredEntry
from ..upstream import ConnectionPool, ForwardRequest
from ..utils import PartLogger
from .hosted_peers import HostedPeers
from .quarantine_store import FleetSecret, RecordStore
from .server_losses import LostRequest, ServerLosses
from .task_runner import handle_each

__all__ = ['Quarantine']

#: Reports are sent twice, as datagrams get lost.
_REPEAT_S = 0.1

_log = PartLogger('quarantine')


class Quarantine:
    """
    Collects crashes by suspect and refuses requests that cause them.

    Two daemons, chosen by the suspect, collect the evidence of all.  What
    they conclude is told to all daemons, spread by gossip and kept in the
    store, so that it outlives the fleet.

    :param peers: membership of the fleet and datagrams to peers.
    :param store: key-value store of the platform.
    :param may_store_secret: returns whether this daemon stores a secret of
        the fleet if there is none.
    :param tracker: state of the backend servers.
    :param pool: pool of connections to backend servers.
    """

    def __init__(
        self,
        peers: HostedPeers,
        store: KeyValueStore,
        may_store_secret: Callable[[], bool],
        tracker: ServerTracker,
        pool: ConnectionPool,
    ) -> None:
        self.blocked = BlockedSuspects()
        #: Called when another suspect is blocked.
        self.on_block: Callable[[], None] = _ignore
        self.losses = ServerLosses(
            tracker, pool, self.identity, self._report_crash
        )
        self._secret = FleetSecret(store, may_store_secret)
        self._membership = peers.membership
        self._socket = peers.socket
        self._judge = Judge()
        self._watched = WatchedSuspects()
        self._records = RecordStore(
            store, lambda: self.blocked, self._is_collector
        )
        peers.membership.listeners.append(self._apply_view_change)
        for message_type in (
            CrashReport,
            SuspectStarted,
            Suspected,
            BlockNotice,
        ):
            peers.datagram_router.handlers_by_type[message_type] = (
                self.handle_datagram
            )

    def identity(self, forward: ForwardRequest) -> str:
        """Return the identity of a request, the same for all its repeats."""
        return request_identity(self._secret.secret, forward)

    def blocked_s(self, forward: ForwardRequest) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        if not self.blocked.by_suspect:
            return 0
        return self.blocked.remaining_s(self._suspects(forward), time.time())

    def is_held(self, forward: ForwardRequest) -> bool:
        """Return whether a request must not risk the last server."""
        if self._watched.is_empty:
            return False
        now_s = _now_s()
        return any(
            self._watched.is_held(suspect, now_s)
            for suspect in self._suspects(forward)
        )

    def record_answer(self, forward: ForwardRequest) -> None:
        """Record that a server answered a request, or began to."""
        for suspect in self._suspects(forward):
            self._record_start(suspect)

    def handle_datagram(self, message: object) -> None:
        """Process a report of this or another daemon."""
        match message:
            case CrashReport():
                self._act(
                    message.suspect, self._judge.add_crash(message, _now_s())
                )
            case Suspected():
                self._watch(message.suspect)
            case SuspectStarted():
                self._collect_start(message)
            case BlockNotice():
                record = record_from_text(message.text)
                if record is not None:
                    self._adopt(record, 'notice')

    def apply_store_changes(self, entries: tuple[StoredEntry, ...]) -> None:
        """Adopt the records among entries that changed in the store."""
        self._secret.apply_store_changes(entries)
        stored = [
            entry
            for entry in entries
            if entry.key.startswith(QUARANTINE_PREFIX)
        ]
        handle_each(stored, self._records.note_stored, attrgetter('key'))
        records = filter(None, map(record_from_entry, stored))
        adopt = functools.partial(self._adopt, source='store')
        handle_each(records, adopt, attrgetter('key'))

    async def run(self) -> None:
        """Store what this daemon concluded until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._secret.run())
            group.create_task(self._records.run())

    def _suspects(self, forward: ForwardRequest) -> tuple[str, ...]:
        parts = shared_parts(forward)
        identity = self.identity(forward)
        if not identity:
            return parts
        return (request_suspect(identity, parts), *parts)

    def _report_crash(self, lost: LostRequest) -> None:
        parts = shared_parts(lost.forward)
        unanswered = tuple(
            part for part in parts if not self._watched.has_started(part)
        )
        request = self.identity(lost.forward) or lost.forward.request_id
        for suspect in self._suspects(lost.forward):
            report = CrashReport(
                suspect,
                _companions(suspect, parts, unanswered),
                lost.server,
                lost.failure_domain,
                request,
                lost.lasted_s,
                _now_s() - lost.lost_at_s,
            )
            self._send_twice(self._collectors(suspect), report)

    def _send_twice(
        self, members: tuple[Member, ...], report: CrashReport
    ) -> None:
        self._send(members, report)
        asyncio.get_running_loop().call_later(
            _REPEAT_S, self._send, members, _aged(report, _REPEAT_S)
        )

    def _record_start(self, suspect: str) -> None:
        now_s = _now_s()
        is_watched = self._watched.record_start(suspect, now_s)
        is_wanted = is_watched or suspect in self.blocked.by_suspect
        if is_wanted and self._watched.may_tell(suspect, now_s):
            self._tell_start(suspect)

    def _tell_start(self, suspect: str) -> None:
        age_s = self._watched.start_age_s(suspect, _now_s())
        started = SuspectStarted(suspect, age_s)
        self._send(self._collectors(suspect), started)

    def _watch(self, suspect: str) -> None:
        self._watched.watch(suspect, _now_s())
        if self._watched.has_started(suspect):
            self._tell_start(suspect)

    def _act(self, suspect: str, judgement: Judgement) -> None:
        if judgement.verdict is Verdict.ASK:
            _log_judgement('suspected', suspect, judgement)
            self._send(self._live_members(), Suspected(suspect))
        elif judgement.verdict is Verdict.BLOCK:
            self._block(suspect, judgement)
        if judgement.wait_s:
            asyncio.get_running_loop().call_later(
                judgement.wait_s, self._judge_again, suspect
            )

    def _judge_again(self, suspect: str) -> None:
        self._act(suspect, self._judge.judge(suspect, _now_s()))

    def _block(self, suspect: str, judgement: Judgement) -> None:
        record = self.blocked.block(
            suspect, time.time(), judgement.evidence.companions
        )
        if record is not None:
            _log_judgement('blocked', suspect, judgement)
            self._publish(record)

    def _collect_start(self, started: SuspectStarted) -> None:
        suspect = started.suspect
        evidence = self._judge.add_start(suspect, _now_s() - started.age_s)
        record = self.blocked.find_active(suspect, time.time())
        if record is None:
            return
        is_after_block = time.time() - started.age_s > record.changed_at_s
        if is_after_block or not evidence.is_conclusive:
            _log.event('unblocked', suspect=suspect)
            self._publish(record.lifted(time.time()))

    def _publish(self, record: SuspectRecord) -> None:
        self._adopt(record, 'evidence')
        fact = fact_of(record)
        self._membership.publish_fact(fact)
        self._send(self._live_members(), BlockNotice(fact.text))
        self._records.wake()

    def _apply_view_change(self, change: ViewUpdated) -> None:
        for fact in change.updates.facts:
            record = record_from_fact(fact)
            if record is not None:
                self._adopt(record, 'peers')

    def _adopt(self, record: SuspectRecord, source: str) -> None:
        extended = self.blocked.with_record(record)
        if extended is self.blocked:
            return
        self.blocked = extended
        _log.event(
            'block_adopted',
            suspect=record.suspect,
            sequence=record.sequence,
            is_blocked=record.is_blocked,
            source=source,
        )
        if record.is_blocked:
            self.on_block()

    def _is_collector(self, suspect: str) -> bool:
        own_name = self._membership.own.name
        return any(
            member.name == own_name for member in self._collectors(suspect)
        )

    def _collectors(self, suspect: str) -> tuple[Member, ...]:
        return choose_replicas(self._membership.view, f'suspect/{suspect}')

    def _live_members(self) -> tuple[Member, ...]:
        members = self._membership.view.members_by_name.values()
        return tuple(member for member in members if member.is_alive)

    def _send(self, members: tuple[Member, ...], message: object) -> None:
        own_name = self._membership.own.name
        for member in members:
            if member.name == own_name:
                self.handle_datagram(message)
            else:
                self._socket.send(member.peers, message)


def _aged(report: CrashReport, elapsed_s: float) -> CrashReport:
    return dataclasses.replace(report, age_s=report.age_s + elapsed_s)


def _ignore() -> None:
    """Ignore a block; the default callback."""


def _companions(
    suspect: str, parts: tuple[str, ...], unanswered: tuple[str, ...]
) -> tuple[str, ...]:
    if suspect not in parts:
        return ()
    return tuple(part for part in unanswered if part != suspect)


def _log_judgement(event: str, suspect: str, judgement: Judgement) -> None:
    evidence = judgement.evidence
    _log.event(
        event,
        suspect=suspect,
        companions=sorted(evidence.companions),
        servers=[crash.server for crash in evidence.crashes],
        requests=sorted(evidence.requests),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
