"""Finds, fleet-wide, the parts of prompts that crash servers."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable

from ..generations import AttemptObservation, GenerationRequest
from ..membership import Member, ViewUpdated, choose_replicas
from ..quarantine import (
    BlockedParts,
    CrashReport,
    EvidenceTable,
    PartEvidence,
    PartRecord,
    PartStarted,
    PartSuspected,
    PromptCrash,
    fact_of,
    record_from_entry,
    record_from_fact,
    request_identity,
)
from ..routing import ServerTracker
from ..store import KeyValueStore, StoredEntry
from ..upstream import ConnectionPool, ForwardRequest
from ..utils import BronzesillError, PartLogger
from .fleet_secret import FleetSecret
from .hosted_peers import HostedPeers
from .server_losses import ServerLosses

__all__ = ['PromptQuarantine']

#: Parts whose last answer is remembered.
_MAX_STARTED_PARTS = 2048
#: A suspected part is watched for this long.
_WATCH_S = 60.0
#: Starts of answers on one part are told no more often than this.
_START_INTERVAL_S = 0.3
_SAVE_INTERVAL_S = 0.5

_log = PartLogger('quarantine')


class PromptQuarantine:
    """
    Collects crashes by part of a prompt and refuses parts that cause them.

    Two daemons, chosen by the part, collect the evidence of all.  What they
    conclude is spread by gossip and kept in the store, so that it outlives
    the fleet.

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
        self.blocked = BlockedParts()
        self._secret = FleetSecret(store, may_store_secret)
        self.losses = ServerLosses(tracker, pool, self.identity)
        self._membership = peers.membership
        self._socket = peers.socket
        self._store = store
        self._tracker = tracker
        self._evidence = EvidenceTable()
        self._started_at_s_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._watched_until_s_by_part: dict[str, float] = {}
        self._told_at_s_by_part: dict[str, float] = {}
        self._unsaved_by_part: dict[str, PartRecord] = {}
        self._has_unsaved = asyncio.Event()
        peers.membership.listeners.append(self._apply_view_change)
        for message_type in (CrashReport, PartStarted, PartSuspected):
            peers.datagram_router.handlers_by_type[message_type] = (
                self.handle_datagram
            )

    def remaining_s(self, request: GenerationRequest) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        return self.blocked.remaining_s(
            request.shared_prompt_parts, time.time()
        )

    def identity(self, forward: ForwardRequest) -> str:
        """Return the identity of a request, the same for all its repeats."""
        return request_identity(self._secret.secret, forward)

    def observe(self, observation: AttemptObservation) -> None:
        """Record that an answer began, or that its server was lost before."""
        request = observation.request
        if observation.first_token_s is not None:
            for part in request.shared_prompt_parts:
                self._record_start(part)
        elif observation.is_lost_unanswered:
            self._report_crash(observation)

    def handle_datagram(self, message: object) -> None:
        """Process a report of this or another daemon."""
        match message:
            case CrashReport():
                self._collect_crash(message)
            case PartSuspected():
                self._watch(message.part)
            case PartStarted():
                self._collect_start(message)

    def apply_store_changes(self, entries: tuple[StoredEntry, ...]) -> None:
        """Adopt the records among entries that changed in the store."""
        self._secret.apply_store_changes(entries)
        for entry in entries:
            record = record_from_entry(entry)
            if record is not None:
                self._adopt(record, 'store')

    async def run(self) -> None:
        """Store what this daemon concluded until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._secret.run())
            group.create_task(self._save_all())

    async def _save_all(self) -> None:
        while True:
            await self._has_unsaved.wait()
            for record in tuple(self._unsaved_by_part.values()):
                await self._save(record)
            if not self._unsaved_by_part:
                self._has_unsaved.clear()
            await asyncio.sleep(_SAVE_INTERVAL_S)

    def _report_crash(self, observation: AttemptObservation) -> None:
        request = observation.request
        parts = request.shared_prompt_parts
        suspects = [
            part for part in parts if part not in self._started_at_s_by_part
        ]
        server = self._tracker.servers_by_name.get(observation.server)
        for part in parts:
            report = CrashReport(
                part,
                tuple(other for other in suspects if other != part),
                observation.server,
                server.failure_domain if server else '',
                request.request_id,
                observation.lasted_s,
            )
            self._send(self._collectors(part), report)

    def _record_start(self, part: str) -> None:
        now_s = _now_s()
        self._started_at_s_by_part[part] = now_s
        self._started_at_s_by_part.move_to_end(part)
        if len(self._started_at_s_by_part) > _MAX_STARTED_PARTS:
            self._started_at_s_by_part.popitem(last=False)
        is_watched = self._watched_until_s_by_part.get(part, 0) > now_s
        if is_watched or part in self.blocked.by_part:
            self._tell_start(part)

    def _tell_start(self, part: str) -> None:
        now_s = _now_s()
        if now_s - self._told_at_s_by_part.get(part, 0) < _START_INTERVAL_S:
            return
        self._told_at_s_by_part[part] = now_s
        age_s = now_s - self._started_at_s_by_part[part]
        self._send(self._collectors(part), PartStarted(part, age_s))

    def _watch(self, part: str) -> None:
        now_s = _now_s()
        self._watched_until_s_by_part = {
            known: until_s
            for known, until_s in self._watched_until_s_by_part.items()
            if until_s > now_s
        }
        self._watched_until_s_by_part[part] = now_s + _WATCH_S
        if part in self._started_at_s_by_part:
            self._tell_start(part)

    def _collect_crash(self, report: CrashReport) -> None:
        lost_at_s = _now_s() - report.age_s
        crash = PromptCrash(
            report.server,
            report.request,
            lost_at_s,
            frozenset(report.companions),
            lost_at_s - report.lasted_s,
            report.failure_domain,
        )
        self._evidence = self._evidence.with_crash(report.part, crash)
        self._judge(report.part)

    def _judge(self, part: str) -> None:
        evidence = self._evidence.evidence(part)
        if evidence.is_conclusive:
            record = self.blocked.block(part, time.time(), evidence.companions)
            if record is not None:
                _log_evidence('prompt_part_blocked', part, evidence)
                self._publish(record)
        elif evidence.is_suspected:
            _log_evidence('prompt_part_suspected', part, evidence)
            self._send(self._live_members(), PartSuspected(part))

    def _collect_start(self, started: PartStarted) -> None:
        part = started.part
        started_at_s = _now_s() - started.age_s
        self._evidence = self._evidence.with_start(part, started_at_s)
        record = self.blocked.find_active(part, time.time())
        if record is None:
            return
        is_after_block = time.time() - started.age_s > record.changed_at_s
        is_conclusive = self._evidence.evidence(part).is_conclusive
        if is_after_block or not is_conclusive:
            _log.event('prompt_part_unblocked', prompt_part=part)
            self._publish(record.lifted(time.time()))

    def _publish(self, record: PartRecord) -> None:
        self._adopt(record, 'evidence')
        self._membership.publish_fact(fact_of(record))
        self._unsaved_by_part[record.part] = record
        self._has_unsaved.set()

    def _apply_view_change(self, change: ViewUpdated) -> None:
        for fact in change.updates.facts:
            record = record_from_fact(fact)
            if record is not None:
                self._adopt(record, 'peers')

    def _adopt(self, record: PartRecord, source: str) -> None:
        extended = self.blocked.with_record(record)
        if extended is not self.blocked:
            self.blocked = extended
            _log.event(
                'prompt_part_adopted',
                prompt_part=record.part,
                sequence=record.sequence,
                is_blocked=record.is_blocked,
                source=source,
            )

    async def _save(self, record: PartRecord) -> None:
        try:
            is_stored = await self._write(record)
        except BronzesillError as error:
            _log.info('record of %s not stored: %s', record.part, error)
            return
        if is_stored and self._unsaved_by_part.get(record.part) is record:
            self._unsaved_by_part.pop(record.part)

    async def _write(self, record: PartRecord) -> bool:
        """Write a record; return whether it or a newer one was there before."""
        # The round after a write reads it back, which also settles a write
        # whose answer was lost.
        stored = await self._store.get(record.key)
        known = record_from_entry(stored) if stored else None
        if known is not None and known.sequence >= record.sequence:
            return True
        expected = stored.revision if stored else None
        await self._store.compare_and_swap(
            record.key, expected, (record.to_mutation(),)
        )
        return False

    def _collectors(self, part: str) -> tuple[Member, ...]:
        return choose_replicas(self._membership.view, f'prompt-part/{part}')

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


def _log_evidence(event: str, part: str, evidence: PartEvidence) -> None:
    _log.event(
        event,
        prompt_part=part,
        companions=sorted(evidence.companions),
        servers=[crash.server for crash in evidence.crashes],
        requests=sorted(evidence.requests),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
