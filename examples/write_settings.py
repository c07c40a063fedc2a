"""Write the settings of a small fleet on loopback into a folder."""

from __future__ import annotations

import argparse
import json
import socket
from pathlib import Path
from typing import Any

import yaml

from bronzesill.utils import hash_secret

ENGINES = 4
DAEMONS = 2
CALLER_KEY = 'bz-demo-caller'
OPERATOR_KEY = 'bz-demo-operator'


def free_addresses(count: int) -> list[str]:
    """Return addresses on loopback that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{opened.getsockname()[1]}' for opened in sockets]
    for opened in sockets:
        opened.close()
    return addresses


def base_file(engines: list[str], service: str) -> dict[str, Any]:
    """Return the base file: a model with four engines, a shop service."""
    servers: dict[str, Any] = {
        f'engine-{number}': {
            'address': address,
            'failure_domain': 'abc'[number % 3],
            'version': 'v1',
            'model': 'guide',
        }
        for number, address in enumerate(engines)
    }
    servers['shop-0'] = {
        'address': service,
        'failure_domain': 'a',
        'version': 's1',
        'service': 'shop',
    }
    return {
        'accounts': {'tbilisi-1': {'key_sha256': hash_secret(CALLER_KEY)}},
        'operators': {'nino': {'key_sha256': hash_secret(OPERATOR_KEY)}},
        'models': {'guide': {'version': 'v1'}},
        'servers': servers,
        'routes': {
            'stock': {
                'path': '/shop/stock',
                'service': 'shop',
                'idempotent': True,
            },
            'orders': {'path': '/shop/orders', 'service': 'shop'},
        },
    }


def main() -> None:
    """Write all files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=Path)
    folder = parser.parse_args().folder
    folder.mkdir(parents=True, exist_ok=True)
    ports = free_addresses(3 + ENGINES + 2 * DAEMONS)
    store, hosts, service, *others = ports
    engines, daemons = others[:ENGINES], others[ENGINES:]
    pairs = [daemons[at : at + 2] for at in range(0, len(daemons), 2)]
    for number, (callers, peers) in enumerate(pairs):
        settings = {
            'name': f'entry-{number}',
            'region': 'tbilisi',
            'failure_domain': 'ab'[number % 2],
            'callers': callers,
            'peers': peers,
            'store': store,
            'host_list': hosts,
            'site': 'kartuli',
        }
        path = folder / f'daemon-{number}.yaml'
        path.write_text(yaml.safe_dump(settings))
    tool = {
        'store': store,
        'daemons': [callers for callers, _ in pairs],
        'operator': 'nino',
        'key': OPERATOR_KEY,
    }
    (folder / 'tool.yaml').write_text(yaml.safe_dump(tool))
    (folder / 'base.yaml').write_text(
        yaml.safe_dump(base_file(engines, service))
    )
    overlay = {'limits': {'max_waiting': 32, 'address_ttl_s': 2}}
    (folder / 'kartuli.yaml').write_text(yaml.safe_dump(overlay))
    listed = [
        {
            'name': f'entry-{number}',
            'peers': peers,
            'region': 'tbilisi',
            'failure_domain': 'ab'[number % 2],
        }
        for number, (_, peers) in enumerate(pairs)
    ]
    (folder / 'hosts.json').write_text(json.dumps(listed))
    variables = {
        'STORE': store,
        'HOSTS': hosts,
        'SERVICE': service,
        'ENGINES': ' '.join(engines),
        'ENTRIES': ' '.join(callers for callers, _ in pairs),
        'CALLER_KEY': CALLER_KEY,
    }
    lines = [f"{name}='{text}'" for name, text in variables.items()]
    (folder / 'fleet.env').write_text('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
