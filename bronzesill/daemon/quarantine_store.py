"""What the quarantine of all hosted daemons keeps in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from random import Random

from ..quarantine import (
    MIN_SECRET_BYTES,
    BlockedSuspects,
    SuspectRecord,
    record_from_entry,
)
from ..store import KeyValueStore, Mutation, StoredEntry
from ..utils import BronzesillError, PartLogger

__all__ = ['FleetSecret', 'RecordStore']

_KEY = '/bronzesill/fleet-secret'
_SECRET_BYTES = 32
_CHECK_INTERVAL_S = 1.0
#: A daemon that has no secret waits longer than one that can write it again.
_CREATE_DELAY_S = 2.0
_SAVE_INTERVAL_S = 0.5
#: The store may lose a record when it comes back from an older copy.
_RECORD_CHECK_INTERVAL_S = 1.0

_log = PartLogger('quarantine')


class FleetSecret:
    """
    Learns the secret of the fleet, and stores one if there is none.

    :param store: key-value store of the platform.
    :param may_store: returns whether this daemon stores one; only few should.
    """

    def __init__(
        self, store: KeyValueStore, may_store: Callable[[], bool]
    ) -> None:
        #: The secret, empty while it is not known.
        self.secret = b''
        self._store = store
        self._may_store = may_store
        # Spreads the daemons that store a secret.
        self._random = Random()
        self._is_stored = False

    def apply_store_changes(self, entries: tuple[StoredEntry, ...]) -> None:
        """Adopt the secret among entries that changed in the store."""
        for entry in entries:
            if entry.key == _KEY:
                self._adopt(entry)

    async def run(self) -> None:
        """Store a secret whenever the store has none, until cancelled."""
        while True:
            delay_s = _CHECK_INTERVAL_S if self.secret else _CREATE_DELAY_S
            await asyncio.sleep(delay_s * (0.5 + self._random.random()))
            if self._is_stored or not self._may_store():
                continue
            try:
                await self._store_secret()
            except BronzesillError as error:
                _log.info('the secret of the fleet is not stored: %s', error)

    def _adopt(self, entry: StoredEntry) -> None:
        is_valid = len(entry.payload) >= MIN_SECRET_BYTES
        self._is_stored = is_valid and not entry.is_removed
        if self._is_stored:
            self.secret = entry.payload

    async def _store_secret(self) -> None:
        stored = await self._store.get(_KEY)
        if stored is not None and len(stored.payload) >= MIN_SECRET_BYTES:
            self._adopt(stored)
            return
        secret = self.secret or os.urandom(_SECRET_BYTES)
        written = await self._store.compare_and_swap(
            _KEY,
            stored.revision if stored else None,
            (Mutation(_KEY, secret),),
        )
        if written is not None:
            self.secret = secret
            self._is_stored = True


class RecordStore:
    """
    Task that writes records to the store until it says that it has them.

    :param store: key-value store of the platform.
    :param find_blocked: returns the known records.
    :param is_collector: returns whether this daemon stores the records of a
        suspect.
    """

    def __init__(
        self,
        store: KeyValueStore,
        find_blocked: Callable[[], BlockedSuspects],
        is_collector: Callable[[str], bool],
    ) -> None:
        self._store = store
        self._find_blocked = find_blocked
        self._is_collector = is_collector
        self._has_new = asyncio.Event()
        self._stored_sequences: dict[str, int] = {}

    def wake(self) -> None:
        """Write what the store lacks at once."""
        self._has_new.set()

    def note_stored(self, entry: StoredEntry) -> None:
        """Note what the store says; it may come back from an older copy."""
        record = record_from_entry(entry)
        self._stored_sequences[entry.key] = record.sequence if record else 0

    async def run(self) -> None:
        """Write records until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._has_new.wait(), _RECORD_CHECK_INTERVAL_S
                )
            self._has_new.clear()
            for record in self._find_missing():
                await self._save(record)
            await asyncio.sleep(_SAVE_INTERVAL_S)

    def _find_missing(self) -> list[SuspectRecord]:
        now_s = time.time()
        return [
            record
            for record in self._find_blocked().by_suspect.values()
            if now_s < record.ends_at_s
            and self._stored_sequences.get(record.key, 0) < record.sequence
            and self._is_collector(record.suspect)
        ]

    async def _save(self, record: SuspectRecord) -> None:
        try:
            await self._write(record)
        except BronzesillError as error:
            _log.info('record of %s not stored: %s', record.suspect, error)

    async def _write(self, record: SuspectRecord) -> None:
        stored = await self._store.get(record.key)
        known = record_from_entry(stored) if stored else None
        if known is not None and known.sequence >= record.sequence:
            return
        expected = stored.revision if stored else None
        await self._store.compare_and_swap(
            record.key, expected, (record.to_mutation(),)
        )
        _log.event(
            'record_stored', suspect=record.suspect, sequence=record.sequence
        )
