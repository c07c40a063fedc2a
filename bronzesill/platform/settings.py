"""Decoding of the settings file that the platform provides on each host."""

from __future__ import annotations

import types
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from ..config import FleetBounds, HostedSettings
from ..utils import Address, DocumentInvalid, read_integer, read_number

__all__ = ['METRICS_PORT', 'decode_settings', 'read_settings']

_MS_PER_S = 1000
#: TCP port for metrics; the deploy file names the same port.
METRICS_PORT = 9102
_MAX_PORT = 65535
#: Highest value of a bound or limit, whatever its unit.
_MAX_BOUND = 1e9

#: Field of :class:`FleetBounds` and factor by which the value is multiplied
#: (1, or 0.001 for milliseconds), by the platform's field name.
_BOUND_FIELDS: Mapping[str, tuple[str, float]] = types.MappingProxyType(
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
    Read and validate the settings file of this host.

    :param path: path of the JSON file.
    :raises DocumentInvalid: the content is invalid; contains every fault with
        the path of its field.
    :raises OSError: the file cannot be read.
    """
    try:
        raw = orjson.loads(path.read_bytes())
    except orjson.JSONDecodeError as error:
        raise DocumentInvalid((f'invalid JSON: {error}',)) from error
    if not isinstance(raw, dict):
        raise DocumentInvalid(('expected an object @ $',))
    return decode_settings(raw)


def decode_settings(raw: Mapping[str, Any]) -> HostedSettings:
    """
    Build the settings from a decoded file; unknown fields are ignored.

    :param raw: content of the file.
    :raises DocumentInvalid: contains every required field that is missing or
        of another type.
    """
    reader = _FieldReader(raw)
    peer_port = reader.port('portRange', 0)
    ip = reader.text('ip')
    settings = HostedSettings(
        name=reader.text('nodeName'),
        region=reader.text('region'),
        failure_domain=reader.text('zone'),
        callers=reader.address('listen', 'frontend'),
        directory=reader.address('listen', 'registry'),
        readiness=reader.address('listen', 'readiness'),
        store=reader.address('platform', 'address'),
        peers=Address(ip, peer_port),
        metrics=Address(ip, METRICS_PORT),
        bounds=_decode_bounds(raw.get('bounds')),
        seeds=_decode_seeds(raw.get('seedNodes'), peer_port),
        link_mbps=_decode_limit(raw.get('limits'), 'linkMbps'),
        memory_mb=_decode_limit(raw.get('limits'), 'memoryMb'),
    )
    if reader.faults:
        raise DocumentInvalid(tuple(reader.faults))
    return settings


class _FieldReader:
    """
    Reader of required fields that collects all faults.

    A field with a fault reads as an empty value, so that reading continues.

    :param raw: content of the settings file.
    """

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self.faults: list[str] = []
        self._raw = raw

    def text(self, *path: str | int) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._add_fault(path, 'expected a non-empty string')
        return ''

    def port(self, *path: str | int) -> int:
        try:
            return read_integer(self._find(path), lowest=1, highest=_MAX_PORT)
        except ValueError as error:
            self._add_fault(path, str(error))
            return 0

    def address(self, *path: str | int) -> Address:
        text = self._find(path)
        if isinstance(text, str):
            try:
                return Address.from_text(text)
            except ValueError as error:
                self._add_fault(path, str(error))
        else:
            self._add_fault(path, 'expected ip:port')
        return Address('', 0)

    def _find(self, path: tuple[str | int, ...]) -> Any:
        value: Any = self._raw
        for step in path:
            try:
                value = value[step]
            except (KeyError, IndexError, TypeError):
                return None
        return value

    def _add_fault(self, path: tuple[str | int, ...], message: str) -> None:
        place = '.'.join(str(step) for step in path)
        self.faults.append(f'{message} @ $.{place}')


def _decode_limit(limits: Any, name: str) -> float:
    """Return a limit of the host, 0 if it is not stated."""
    raw = limits.get(name) if isinstance(limits, dict) else None
    return _read_positive(raw) or 0


def _decode_seeds(raw: Any, peer_port: int) -> tuple[Address, ...]:
    # The file lists seeds with the port of another service.  All hosts use the
    # same peer port, so that port is replaced by the one of this host.
    listed = raw if isinstance(raw, list) else ()
    seeds = (seed for seed in listed if isinstance(seed, str))
    ips = (seed.rpartition(':')[0] for seed in seeds)
    return tuple(Address(ip, peer_port) for ip in ips if ip)


def _decode_bounds(raw: Any) -> FleetBounds:
    fields = raw if isinstance(raw, dict) else {}
    bounds = {
        own_field: number * unit_s
        for platform_field, (own_field, unit_s) in _BOUND_FIELDS.items()
        if (number := _read_positive(fields.get(platform_field))) is not None
    }
    return FleetBounds(**bounds)


def _read_positive(raw: object) -> float | None:
    """Return a number, none if it is missing, malformed or out of bounds."""
    try:
        return read_number(raw, highest=_MAX_BOUND)
    except ValueError:
        return None
