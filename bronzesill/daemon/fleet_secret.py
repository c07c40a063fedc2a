"""Secret that all hosted daemons share through the platform's store."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from random import Random

from ..quarantine import MIN_SECRET_BYTES
from ..store import KeyValueStore, Mutation, StoredEntry
from ..utils import BronzesillError, PartLogger

__all__ = ['FleetSecret']

_KEY = '/bronzesill/fleet-secret'
_SECRET_BYTES = 32
_CHECK_INTERVAL_S = 1.0
#: A daemon that has no secret waits longer than one that can write it again.
_CREATE_DELAY_S = 2.0

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
