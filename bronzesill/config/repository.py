"""Access to the shared configuration in the key-value store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import KeyValueStore, Mutation, StoreRevision
from ..utils import BronzesillError, ResultCode, structure_json, unstructure
from .revision import StoredConfig

__all__ = [
    'CONFIG_KEY',
    'ConfigChange',
    'ConfigRepository',
    'VersionedConfig',
    'parse_stored',
]

CONFIG_KEY = '/bronzesill/config/current'
_HISTORY_PREFIX = '/bronzesill/config/history/'
_HISTORY_SIZE = 100


@dataclasses.dataclass(frozen=True)
class VersionedConfig:
    """
    A configuration with the store revision at which it was read.

    :param config: stored configuration.
    :param revision: revision of its key, expected by the compare-and-swap of
        the next change.
    """

    config: StoredConfig
    revision: StoreRevision


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """
    A configuration change requested by an operator.

    :param base: YAML text of the new base file.
    :param overlays: YAML text of the new overlay for each site.
    :param operator: name of the operator.
    :param reason: reason given by the operator.
    :param at_s: time of the request, in seconds since the epoch.
    """

    base: str
    overlays: dict[str, str]
    operator: str
    reason: str
    at_s: float


class ConfigRepository:
    """
    Reads and updates the shared configuration and its history.

    :param store: key-value store of the platform.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read(self) -> VersionedConfig | None:
        """Read the current configuration, ``None`` if none was ever stored."""
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return None
        return VersionedConfig(parse_stored(entry.payload), entry.revision)

    async def history(self) -> tuple[StoredConfig, ...]:
        """Read the retained configurations, at most 100, by revision number."""
        entries = await self._store.list(_HISTORY_PREFIX)
        configs = [parse_stored(entry.payload) for entry in entries]
        return tuple(sorted(configs, key=lambda config: config.number))

    async def apply(
        self,
        current: VersionedConfig | None,
        change: ConfigChange,
        highest_number: int,
    ) -> StoredConfig:
        """
        Store a change as a new revision by compare-and-swap.

        :param current: configuration that the change is based on, ``None`` if
            there is none yet.
        :param change: change to apply.
        :param highest_number: highest revision number in force on any daemon.
            The new number exceeds it even if the store was restored from an
            older backup.
        :returns: the stored configuration.
        :raises BronzesillError: ``REVISION_CONFLICT`` if another change was
            applied since ``current`` was read; errors of the store propagate.
        """
        before = current.config.number if current else 0
        config = StoredConfig(
            number=max(before, highest_number) + 1,
            base=change.base,
            overlays=change.overlays,
            operator=change.operator,
            reason=change.reason,
            applied_at_s=change.at_s,
        )
        is_applied = await self._swap(current, config)
        if not is_applied:
            raise BronzesillError(
                ResultCode.REVISION_CONFLICT,
                'not applied: another change was accepted first',
            )
        return config

    async def write_again(
        self, current: VersionedConfig | None, lost: StoredConfig
    ) -> bool:
        """
        Store an accepted configuration that the store has lost.

        :param current: older configuration that the store has now, ``None``
            if there is none.
        :param lost: configuration that is in force.
        :returns: whether it was stored; false if another change came first.
        """
        return await self._swap(current, lost)

    async def _swap(
        self, current: VersionedConfig | None, config: StoredConfig
    ) -> bool:
        payload = orjson.dumps(unstructure(config))
        slot = config.number % _HISTORY_SIZE
        mutations = (
            Mutation(CONFIG_KEY, payload),
            Mutation(f'{_HISTORY_PREFIX}{slot:04d}', payload),
            audit_mutation(_audit_entry(current, config)),
        )
        expected = current.revision if current else None
        try:
            revision = await self._store.compare_and_swap(
                CONFIG_KEY, expected, mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            return await self._was_applied(config)
        return revision is not None

    async def _was_applied(self, config: StoredConfig) -> bool:
        current = await self.read()
        if current is not None and current.config == config:
            return True
        return config in await self.history()


def parse_stored(payload: bytes) -> StoredConfig:
    """Parse a JSON configuration read from the store."""
    return structure_json(payload, StoredConfig)


def _audit_entry(
    current: VersionedConfig | None, config: StoredConfig
) -> AuditEntry:
    before = current.config.number if current else 0
    return AuditEntry(
        at_s=config.applied_at_s,
        operator=config.operator,
        action='config apply',
        subject='configuration',
        reason=config.reason,
        before=f'revision {before}',
        after=f'revision {config.number}',
    )
