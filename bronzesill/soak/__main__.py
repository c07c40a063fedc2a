"""Run one soak: ``python -m bronzesill.soak --seed 1 --stops 4``."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import signal
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from .builds import extract_version
from .report import render
from .schedule import Plan, make_replacement, make_schedule
from .soak import Soak
from .verdict import find_breaches

__all__ = ['main']


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m bronzesill.soak', description=__doc__
    )
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--stops', type=int, default=4)
    parser.add_argument('--hosts', type=int, default=4)
    parser.add_argument('--calm', action='store_true', help='planned work only')
    parser.add_argument(
        '--replace',
        metavar='COMMIT',
        help='start with this version, replace all hosts one by one, and back',
    )
    parser.add_argument('--logs', type=Path, help='folder that keeps the logs')
    return parser.parse_args()


@contextlib.contextmanager
def _log_folder(kept: Path | None) -> Iterator[Path]:
    if kept is not None:
        kept.mkdir(parents=True, exist_ok=True)
        yield kept
        return
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def _versions(commit: str | None, folder: Path) -> dict[Path, Path]:
    """Return the version that replaces each version, by its folder."""
    if commit is None:
        return {}
    old = extract_version(commit, folder.resolve() / 'version')
    return {old: Path.cwd(), Path.cwd(): old}


def main() -> int:
    """Run the soak and print its report; return 1 if a rule was broken."""
    options = _parse_args()
    # The hosts end with the soak, however it is ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    # Connections are aborted on purpose.
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    plan = Plan(options.seed, options.stops, options.hosts, not options.calm)
    events = make_schedule(plan)
    if options.replace:
        events = make_replacement(plan.hosts)
    for event in events:
        print(f'{event.at_s:.2f} s {event.kind.value} {event.hosts}')
    with _log_folder(options.logs) as folder:
        soak = Soak(plan, folder, _versions(options.replace, folder))
        seen = asyncio.run(soak.run())
        breaches = find_breaches(seen)
        for line in render(seen, breaches, folder):
            print(line)
    print(f'{soak.unsent} requests not taken by a host')
    print(f'this process was held up for {soak.longest_delay_s:.3f} s at most')
    return int(bool(breaches))


if __name__ == '__main__':
    sys.exit(main())
