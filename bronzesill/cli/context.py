"""Settings, connections and options shared by the tool's commands."""

from __future__ import annotations

import argparse
import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from ..config.repository import ConfigRepository
from ..platform.store import PlatformStore
from ..store import GuardedStore
from ..utils import Address, DocumentInvalid, structure

__all__ = ['Context', 'ToolSettings', 'open_context']


@dataclasses.dataclass(frozen=True)
class ToolSettings:
    """
    Settings of the operators' tool.

    :param store: address of the platform's key-value service.
    :param daemons: addresses of some daemons, from which the other daemons
        are discovered.
    :param metrics: addresses of the pages of metrics of hosted daemons; by
        default the usual port of all listed hosts.
    :param operator: name of the operator.
    :param key: secret key of the operator.
    """

    store: Address
    daemons: list[Address] = dataclasses.field(default_factory=list)
    metrics: list[Address] = dataclasses.field(default_factory=list)
    operator: str = ''
    key: str = ''

    @classmethod
    def from_file(cls, path: Path) -> ToolSettings:
        """
        Read and validate a settings file.

        :param path: path of the YAML file.
        :raises DocumentInvalid: the content is invalid; contains every fault
            with the path of its field.
        :raises OSError: the file cannot be read.
        """
        try:
            document = yaml.safe_load(path.read_text())
        except yaml.YAMLError as error:
            raise DocumentInvalid((f'invalid YAML: {error}',)) from error
        return structure(document, cls)


@dataclasses.dataclass(frozen=True)
class Context:
    """
    Connections and options of one command.

    :param options: parsed command line.
    :param settings: settings of the tool.
    :param session: HTTP session for calls of daemons and backend servers.
    :param store: client of the platform's key-value service.
    """

    options: argparse.Namespace
    settings: ToolSettings
    session: aiohttp.ClientSession
    store: GuardedStore

    @property
    def repository(self) -> ConfigRepository:
        """Repository of the shared configuration in the store."""
        return ConfigRepository(self.store)

    async def call_daemon(
        self, daemon: Address, path: str, body: Any = None
    ) -> dict[str, Any] | None:
        """
        Call the admin API of a daemon with a timeout of 3 s.

        :param daemon: address of the daemon.
        :param path: path below the daemon's address.
        :param body: JSON body of a ``POST``, none for a ``GET``.
        :returns: the JSON response, also of an error; none if the daemon does
            not respond or the response is not JSON.
        """
        timeout = aiohttp.ClientTimeout(total=3)
        method = 'GET' if body is None else 'POST'
        try:
            async with self.session.request(
                method,
                f'{daemon.url}{path}',
                json=body,
                timeout=timeout,
                headers={
                    'X-Operator': self.settings.operator,
                    'X-Operator-Key': self.settings.key,
                },
            ) as response:
                reply: dict[str, Any] = await response.json()
                return reply
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None


@asynccontextmanager
async def open_context(
    options: argparse.Namespace,
) -> AsyncIterator[Context]:
    """
    Read the settings and open the connections of one command.

    :param options: parsed command line.
    :raises DocumentInvalid: the settings file is invalid.
    :raises OSError: the settings file cannot be read.
    """
    settings = ToolSettings.from_file(options.settings)
    store = GuardedStore(PlatformStore(settings.store))
    try:
        async with aiohttp.ClientSession() as session:
            yield Context(options, settings, session, store)
    finally:
        store.close()
