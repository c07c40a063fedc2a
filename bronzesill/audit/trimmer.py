"""Periodic trimming of the audit trail."""

from __future__ import annotations

from ..store import KeyValueStore
from ..utils import BronzesillError, PartLogger
from .trail import trim_trail

__all__ = ['AuditTrimmer']

_INTERVAL_S = 600.0

_log = PartLogger('audit')


class AuditTrimmer:
    """
    Deletes the oldest audit entries at a fixed interval.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._trimmed_at_s: float = 0

    async def trim_when_due(self, now_s: float) -> None:
        """
        Trim the trail if the interval since the last attempt has passed.

        A store failure is logged and the trim is repeated after the interval.

        :param now_s: loop time in seconds.
        """
        if now_s - self._trimmed_at_s < _INTERVAL_S:
            return
        self._trimmed_at_s = now_s
        try:
            await trim_trail(self._store)
        except BronzesillError as error:
            _log.warning('audit trail not trimmed: %s', error)
