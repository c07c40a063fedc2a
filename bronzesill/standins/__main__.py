"""Start one stand-in: ``python -m bronzesill.standins engine --help``."""

from __future__ import annotations

import argparse
import asyncio
import sys

from ..utils import Address
from .batch import EngineProfile
from .engine import EngineStandIn
from .hosts import HostListStandIn
from .service import ServiceStandIn
from .store import StoreStandIn

__all__ = ['main']


def _parse_args(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m bronzesill.standins', description=__doc__
    )
    commands = parser.add_subparsers(dest='kind', required=True)
    engine = commands.add_parser('engine', help='model engine')
    engine.add_argument('--model', default='guide')
    engine.add_argument('--version', default='v1')
    engine.add_argument('--pace-s', type=float, default=0.02)
    engine.add_argument('--capacity', type=int, default=16)
    service = commands.add_parser('service', help='plain service')
    service.add_argument('--name', default='shop')
    commands.add_parser('store', help='key-value store')
    hosts = commands.add_parser('hosts', help='list of hosts')
    hosts.add_argument('--lag-s', type=float, default=1)
    for command in commands.choices.values():
        command.add_argument(
            '--address', type=Address.from_text, required=True, help='ip:port'
        )
    return parser.parse_args(arguments)


def _make_standin(
    options: argparse.Namespace,
) -> EngineStandIn | ServiceStandIn | StoreStandIn | HostListStandIn:
    if options.kind == 'engine':
        profile = EngineProfile(
            version=options.version,
            pace_s=options.pace_s,
            capacity=options.capacity,
        )
        return EngineStandIn(options.model, profile, options.address)
    if options.kind == 'service':
        return ServiceStandIn(options.address, options.name)
    if options.kind == 'hosts':
        return HostListStandIn(options.address, options.lag_s)
    return StoreStandIn(options.address)


async def _serve(options: argparse.Namespace) -> None:
    standin = _make_standin(options)
    await standin.start()
    await asyncio.Event().wait()


def main() -> int:
    """Run the selected stand-in until interrupted; return exit status 0."""
    options = _parse_args(sys.argv[1:])
    try:
        asyncio.run(_serve(options))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == '__main__':
    sys.exit(main())
