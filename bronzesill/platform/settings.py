"""The platform's settings file of a host, decoded once."""

from __future__ import annotations

import types
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson

from ..config import FleetBounds, HostedSettings
from ..utils import Address, DocumentInvalid

__all__ = ['SETTINGS_VARIABLE', 'decode_settings', 'read_settings']

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'BRONZESILL_SETTINGS'

_MS_PER_S = 1000
#: Port that the deploy file names for the metrics.
_METRICS_PORT = 9102

#: Fields of our own by the platform's field and its unit in seconds.
_BOUNDS: Mapping[str, tuple[str, float]] = types.MappingProxyType(
    {
        'gracePeriodS': ('grace_s', 1),
        'drainMs': ('drain_s', 1 / _MS_PER_S),
        'configApplyMs': ('apply_s', 1 / _MS_PER_S),
        'rollbackMs': ('rollback_s', 1 / _MS_PER_S),
        'ttl_max_s': ('address_ttl_s', 1),
        'reuseDelayS': ('reuse_s', 1),
        'retryBudgetRatio': ('retry_ratio', 1),
        'budgetWindowS': ('retry_window_s', 1),
        'budgetSlack': ('retry_slack', 1),
        'exposureRatio': ('exposure_ratio', 1),
        'exposureTolerance': ('exposure_slack', 1),
    }
)


def read_settings(path: Path) -> HostedSettings:
    """
    Read and check the settings file of this host.

    :raises DocumentInvalid: with every fault and its path.
    :raises OSError: the file cannot be read.
    """
    try:
        raw = orjson.loads(path.read_bytes())
    except orjson.JSONDecodeError as error:
        raise DocumentInvalid((f'not JSON: {error}',)) from error
    if not isinstance(raw, dict):
        raise DocumentInvalid(('expected an object @ $',))
    return decode_settings(raw)


def decode_settings(raw: Mapping[str, Any]) -> HostedSettings:
    """
    Build the settings; fields that are not known are left alone.

    :raises DocumentInvalid: with every missing or unusable field.
    """
    reader = _Reader(raw)
    peer_port = reader.number('portRange', 0)
    ip = reader.text('ip')
    settings = HostedSettings(
        name=reader.text('nodeName'),
        region=reader.text('region'),
        failure_domain=reader.text('zone'),
        callers=reader.address('listen', 'frontend'),
        directory=reader.address('listen', 'registry'),
        readiness=reader.address('listen', 'readiness'),
        store=reader.address('platform', 'address'),
        peers=Address(ip, int(peer_port)),
        metrics=Address(ip, _METRICS_PORT),
        bounds=_decode_bounds(raw.get('bounds', {})),
        seeds=_decode_seeds(raw.get('seedNodes') or (), int(peer_port)),
        link_mbps=_decode_link(raw.get('limits')),
    )
    if reader.faults:
        raise DocumentInvalid(tuple(reader.faults))
    return settings


class _Reader:
    """
    Reads required fields and collects what is wrong with them.

    :param raw: the settings as they came.
    """

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self.faults: list[str] = []
        self._raw = raw

    def text(self, *path: str | int) -> str:
        found = self._find(path)
        if isinstance(found, str) and found:
            return found
        self._fault(path, 'expected a text')
        return ''

    def number(self, *path: str | int) -> float:
        found = self._find(path)
        if isinstance(found, int | float):
            return found
        self._fault(path, 'expected a number')
        return 0

    def address(self, *path: str | int) -> Address:
        text = self._find(path)
        if isinstance(text, str):
            try:
                return Address.from_text(text)
            except ValueError as error:
                self._fault(path, str(error))
        else:
            self._fault(path, 'expected ip:port')
        return Address('', 0)

    def _find(self, path: tuple[str | int, ...]) -> Any:
        found: Any = self._raw
        for step in path:
            try:
                found = found[step]
            except (KeyError, IndexError, TypeError):
                return None
        return found

    def _fault(self, path: tuple[str | int, ...], message: str) -> None:
        place = '.'.join(str(step) for step in path)
        self.faults.append(f'{message} @ $.{place}')


def _decode_link(limits: Any) -> float:
    known = limits.get('linkMbps') if isinstance(limits, dict) else None
    return float(known) if isinstance(known, int | float) else 0


def _decode_seeds(raw: Sequence[Any], peer_port: int) -> tuple[Address, ...]:
    # The seeds are given by another port; ports are the same on all hosts.
    ips = (str(seed).rpartition(':')[0] for seed in raw)
    return tuple(Address(ip, peer_port) for ip in ips if ip)


def _decode_bounds(raw: Mapping[str, Any]) -> FleetBounds:
    known = {
        ours: float(raw[theirs]) * unit_s
        for theirs, (ours, unit_s) in _BOUNDS.items()
        if isinstance(raw.get(theirs), int | float)
    }
    return FleetBounds(**known)
