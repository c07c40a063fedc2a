"""Write the settings files of a small loopback fleet to a folder."""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import json
import socket
from pathlib import Path
from typing import Any

import yaml

from bronzesill.utils import hash_secret

__all__ = ['main']

_ENGINES = 4
_DAEMONS = 2
_CALLER_KEY = 'bz-demo-caller'
_OPERATOR_KEY = 'bz-demo-operator'
_DOMAINS = 'abc'


@dataclasses.dataclass(frozen=True)
class Addresses:
    """
    Addresses of all processes of the fleet, as ``IP:port``.

    :param store: key-value store.
    :param hosts: service with the list of hosts.
    :param service: plain service.
    :param engines: model engines.
    :param callers: addresses of the daemons for callers.
    :param peers: addresses of the daemons for other daemons.
    """

    store: str
    hosts: str
    service: str
    engines: tuple[str, ...]
    callers: tuple[str, ...]
    peers: tuple[str, ...]

    @classmethod
    def from_free_ports(cls) -> Addresses:
        """
        Choose free loopback ports.

        The ports are free at the time of the call, but not reserved.
        """
        with contextlib.ExitStack() as stack:
            addresses = [
                _bind_free_port(stack)
                for _ in range(3 + _ENGINES + 2 * _DAEMONS)
            ]
        remaining = addresses[3:]
        return cls(
            store=addresses[0],
            hosts=addresses[1],
            service=addresses[2],
            engines=tuple(remaining[:_ENGINES]),
            callers=tuple(remaining[_ENGINES : _ENGINES + _DAEMONS]),
            peers=tuple(remaining[_ENGINES + _DAEMONS :]),
        )


def _bind_free_port(stack: contextlib.ExitStack) -> str:
    listener = stack.enter_context(socket.socket())
    listener.bind(('127.0.0.1', 0))
    return f'127.0.0.1:{listener.getsockname()[1]}'


def _base_file(addresses: Addresses) -> dict[str, Any]:
    servers: dict[str, Any] = {
        f'engine-{number}': {
            'address': address,
            'failure_domain': _DOMAINS[number % 3],
            'version': 'v1',
            'model': 'guide',
        }
        for number, address in enumerate(addresses.engines)
    }
    servers['shop-0'] = {
        'address': addresses.service,
        'failure_domain': 'a',
        'version': 's1',
        'service': 'shop',
    }
    stock = {'path': '/shop/stock', 'service': 'shop', 'idempotent': True}
    return {
        'accounts': {'tbilisi-1': {'key_sha256': hash_secret(_CALLER_KEY)}},
        'operators': {'nino': {'key_sha256': hash_secret(_OPERATOR_KEY)}},
        'models': {'guide': {'version': 'v1'}},
        'services': {'shop': {'version': 's1'}},
        'servers': servers,
        'routes': {
            'stock': stock,
            'orders': {'path': '/shop/orders', 'service': 'shop'},
        },
    }


def _daemon_settings(addresses: Addresses, number: int) -> dict[str, Any]:
    return {
        'name': f'entry-{number}',
        'region': 'tbilisi',
        'failure_domain': _DOMAINS[number % 3],
        'callers': addresses.callers[number],
        'peers': addresses.peers[number],
        'store': addresses.store,
        'host_list': addresses.hosts,
        'site': 'kartuli',
    }


def _host_list(addresses: Addresses) -> list[dict[str, Any]]:
    names = ('name', 'peers', 'region', 'failure_domain')
    settings = [
        _daemon_settings(addresses, number) for number in range(_DAEMONS)
    ]
    return [{name: each[name] for name in names} for each in settings]


def _environment_file(addresses: Addresses) -> str:
    variables = {
        'STORE': addresses.store,
        'HOSTS': addresses.hosts,
        'SERVICE': addresses.service,
        'ENGINES': ' '.join(addresses.engines),
        'ENTRIES': ' '.join(addresses.callers),
        'CALLER_KEY': _CALLER_KEY,
    }
    return ''.join(f"{name}='{value}'\n" for name, value in variables.items())


def _write_yaml(path: Path, document: dict[str, Any]) -> None:
    path.write_text(yaml.safe_dump(document))


def main() -> None:
    """Write settings, configuration, list of hosts and environment file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=Path)
    folder = parser.parse_args().folder
    folder.mkdir(parents=True, exist_ok=True)
    addresses = Addresses.from_free_ports()
    for number in range(_DAEMONS):
        path = folder / f'daemon-{number}.yaml'
        _write_yaml(path, _daemon_settings(addresses, number))
    tool = {
        'store': addresses.store,
        'daemons': list(addresses.callers),
        'operator': 'nino',
        'key': _OPERATOR_KEY,
    }
    _write_yaml(folder / 'tool.yaml', tool)
    _write_yaml(folder / 'base.yaml', _base_file(addresses))
    overlay = {'limits': {'max_waiting': 32, 'address_ttl_s': 2}}
    _write_yaml(folder / 'kartuli.yaml', overlay)
    hosts = folder / 'hosts.json'
    hosts.write_text(json.dumps(_host_list(addresses)))
    (folder / 'fleet.env').write_text(_environment_file(addresses))


if __name__ == '__main__':
    main()
