"""The shared configuration in the platform's store."""

from __future__ import annotations

import dataclasses

import orjson

from ..audit import AuditEntry, audit_mutation
from ..store import KeyValueStore, Mutation
from ..utils import BronzesillError, ResultCode, structure_json, unstructure
from .revision import StoredConfig

__all__ = [
    'CONFIG_KEY',
    'ConfigChange',
    'ConfigRepository',
    'HeldConfig',
    'parse_stored',
]

CONFIG_KEY = '/bronzesill/config/current'
_HISTORY_PREFIX = '/bronzesill/config/history/'
_HISTORY_SIZE = 100


@dataclasses.dataclass(frozen=True)
class HeldConfig:
    """
    The configuration as read from the store.

    :param config: what is stored.
    :param mod_revision: store revision to compare with on a change.
    """

    config: StoredConfig
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """
    A change that an operator wants.

    :param base: YAML text of the new base file.
    :param overlays: YAML text of the overlay by site.
    :param operator: who wants it.
    :param reason: why.
    :param at_s: when, in seconds since the epoch.
    """

    base: str
    overlays: dict[str, str]
    operator: str
    reason: str
    at_s: float


class ConfigRepository:
    """
    Reads and changes the shared configuration.

    :param store: the platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read(self) -> HeldConfig | None:
        """Read the current configuration, none before the first."""
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return None
        return HeldConfig(parse_stored(entry.payload), entry.mod_revision)

    async def history(self) -> tuple[StoredConfig, ...]:
        """Read the configurations kept, oldest first."""
        entries = await self._store.list(_HISTORY_PREFIX)
        found = [parse_stored(entry.payload) for entry in entries]
        return tuple(sorted(found, key=lambda config: config.number))

    async def apply(
        self, held: HeldConfig | None, change: ConfigChange, known_number: int
    ) -> StoredConfig:
        """
        Put a change in place of what was read before.

        :param held: the configuration that the operator saw.
        :param change: the change.
        :param known_number: highest revision that any daemon has in force;
            the new one is above it even if the store was restored older.
        :raises BronzesillError: ``REVISION_CONFLICT`` if another change came
            first; store errors as they are.
        """
        before = held.config.number if held else 0
        config = StoredConfig(
            number=max(before, known_number) + 1,
            base=change.base,
            overlays=change.overlays,
            operator=change.operator,
            reason=change.reason,
            applied_at_s=change.at_s,
        )
        won = await self._swap(held, config)
        if not won:
            raise BronzesillError(
                ResultCode.REVISION_CONFLICT,
                'not applied: another change was accepted first',
            )
        return config

    async def _swap(
        self, held: HeldConfig | None, config: StoredConfig
    ) -> bool:
        payload = orjson.dumps(unstructure(config))
        slot = config.number % _HISTORY_SIZE
        mutations = (
            Mutation(CONFIG_KEY, payload),
            Mutation(f'{_HISTORY_PREFIX}{slot:04d}', payload),
            audit_mutation(_entry(held, config)),
        )
        expected = held.mod_revision if held else 0
        try:
            revision = await self._store.compare_and_swap(
                CONFIG_KEY, expected, mutations
            )
        except BronzesillError as error:
            if error.code is not ResultCode.STORE_ANSWER_LOST:
                raise
            return await self._did_win(config)
        return revision is not None

    async def _did_win(self, config: StoredConfig) -> bool:
        now_held = await self.read()
        if now_held is not None and now_held.config == config:
            return True
        return config in await self.history()


def parse_stored(payload: bytes) -> StoredConfig:
    """Parse a configuration as the store keeps it."""
    return structure_json(payload, StoredConfig)


def _entry(held: HeldConfig | None, config: StoredConfig) -> AuditEntry:
    before = held.config.number if held else 0
    return AuditEntry(
        at_s=config.applied_at_s,
        operator=config.operator,
        action='config apply',
        subject='configuration',
        reason=config.reason,
        before=f'revision {before}',
        after=f'revision {config.number}',
    )
