"""Command line of the operators' tool ``bronzesill``."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from .. import __version__
from ..orders import OrderKind
from ..utils import BronzesillError, DocumentInvalid, ResultCode
from . import (
    audit_commands,
    config_commands,
    host_commands,
    hosted_commands,
    move_commands,
    offline_commands,
    order_commands,
    quarantine_commands,
)
from .context import open_context
from .output import OUTPUT_FORMATS

__all__ = ['main', 'make_parser', 'run_command']

_EXIT_USAGE = 2
_EXIT_CODE_BASE = 10
_DEFAULT_SETTINGS = Path.home() / '.bronzesill.yaml'
_EPILOG = (
    'Exit status: 0 on success, 2 for an error in the command line or the '
    'settings or if a file cannot be read, otherwise 10 plus the thousands '
    'digit of the result code.'
)


def _add_config_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser('config', help='Manage the shared configuration.')
    verbs = parser.add_subparsers(dest='verb', required=True)
    for name, run in (
        ('validate', config_commands.validate),
        ('diff', config_commands.diff),
        ('apply', config_commands.apply),
    ):
        verb = verbs.add_parser(name, help=run.__doc__)
        verb.set_defaults(run=run)
        verb.add_argument(
            '--base', required=True, help='Path of the base file.'
        )
        verb.add_argument(
            '--overlay',
            action='append',
            default=[],
            metavar='SITE=FILE',
            help='Overlay file of a site; may be repeated.',
        )
    _add_apply_options(verbs.choices['apply'])
    verb = verbs.add_parser('show', help=config_commands.show_current.__doc__)
    verb.set_defaults(run=config_commands.show_current)
    verb = verbs.add_parser('history', help=config_commands.history.__doc__)
    verb.set_defaults(run=config_commands.history)
    verb = verbs.add_parser('wait', help=config_commands.wait.__doc__)
    verb.set_defaults(run=config_commands.wait)
    verb.add_argument(
        '--revision',
        type=int,
        help='Revision to wait for; default: the newest.',
    )
    verb.add_argument('--timeout-s', type=float, default=8)


def _add_apply_options(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        '--reason', required=True, help='Reason, for the audit trail.'
    )
    verb.add_argument(
        '--dry-run',
        action='store_true',
        help='Show the changes without applying them.',
    )
    verb.add_argument(
        '--expect',
        type=int,
        help='Reject the change unless this revision is current.',
    )
    verb.add_argument(
        '--wait',
        action='store_true',
        help='Wait until the revision is in force on all daemons.',
    )
    verb.add_argument('--timeout-s', type=float, default=8)


def _add_other_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser('audit', help=audit_commands.audit.__doc__)
    parser.set_defaults(run=audit_commands.audit)
    parser.add_argument(
        '--last',
        type=int,
        default=50,
        help='Number of most recent entries to show.',
    )
    parser = nouns.add_parser(
        'host', help='List and drain the hosts of the system.'
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    verb = verbs.add_parser('list', help=host_commands.list_hosts.__doc__)
    verb.set_defaults(run=host_commands.list_hosts)
    verb = verbs.add_parser('drain', help=host_commands.drain.__doc__)
    verb.set_defaults(run=host_commands.drain)
    verb.add_argument(
        'address', help='Address for callers of the daemon, as ip:port.'
    )
    parser = nouns.add_parser(
        'server', help='Drain and undrain backend servers.'
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    for name in ('drain', 'undrain'):
        verb = verbs.add_parser(name, help=f'{name} a backend server.')
        verb.set_defaults(run=host_commands.drain_server)
        verb.add_argument('server', help='Name of the backend server.')
    parser = nouns.add_parser('key', help=host_commands.make_key.__doc__)
    parser.set_defaults(run=host_commands.make_key)


def _add_offline_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser('explain', help=offline_commands.explain.__doc__)
    parser.set_defaults(run_offline=offline_commands.explain)
    parser.add_argument('request', help='Identifier of the request.')
    parser.add_argument(
        '--logs',
        type=Path,
        nargs='+',
        required=True,
        help='Log files of the hosts.',
    )
    parser = nouns.add_parser(
        'check-settings', help=offline_commands.check_settings.__doc__
    )
    parser.set_defaults(run_offline=offline_commands.check_settings)
    parser.add_argument(
        'file', type=Path, help='Path of the settings file of a host.'
    )
    parser.add_argument(
        '--hosted',
        action='store_true',
        help='Read the file in the format of the platform.',
    )


def _add_move_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser(
        'move', help='Manage moves of traffic between versions.'
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    verb = verbs.add_parser('create', help=move_commands.create.__doc__)
    verb.set_defaults(run=move_commands.create)
    verb.add_argument('move', help='Name of the new move.')
    verb.add_argument(
        '--subject', required=True, help='Model or service whose traffic moves.'
    )
    verb.add_argument('--from', dest='old_version', required=True)
    verb.add_argument('--to', dest='new_version', required=True)
    verb.add_argument('--deadline-in-s', type=float, required=True)
    verb.add_argument(
        '--reason', required=True, help='Reason, for the audit trail.'
    )
    verb = verbs.add_parser('list', help=move_commands.list_moves.__doc__)
    verb.set_defaults(run=move_commands.list_moves)
    for name, run in (
        ('show', move_commands.show_move),
        ('wait', move_commands.wait),
    ):
        verb = verbs.add_parser(name, help=run.__doc__)
        verb.set_defaults(run=run)
        verb.add_argument('move', help='Name of the move.')
    for name in ('pause', 'go-on', 'finish', 'take-back'):
        verb = verbs.add_parser(
            name, help=f'{name}: change the state of a move.'
        )
        verb.set_defaults(run=move_commands.change)
        verb.add_argument('move', help='Name of the move.')
        verb.add_argument(
            '--reason', required=True, help='Reason, for the audit trail.'
        )
    parser = nouns.add_parser('handover', help=move_commands.handover.__doc__)
    parser.set_defaults(run=move_commands.handover)


def _add_order_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser(
        'order', help='Send orders to backend servers and list them.'
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    verb = verbs.add_parser('send', help=order_commands.send.__doc__)
    verb.set_defaults(run=order_commands.send)
    verb.add_argument('server', help='Name of the backend server.')
    verb.add_argument('kind', choices=[kind.value for kind in OrderKind])
    verb.add_argument(
        'argument', help='Model, adapter, version or role of the order.'
    )
    verb.add_argument(
        '--reason', required=True, help='Reason, for the audit trail.'
    )
    verb = verbs.add_parser('list', help=order_commands.list_orders.__doc__)
    verb.set_defaults(run=order_commands.list_orders)


def _add_hosted_commands(nouns: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    parser = nouns.add_parser('status', help=hosted_commands.status.__doc__)
    parser.set_defaults(run=hosted_commands.status)
    parser.add_argument(
        '--reports',
        action='store_true',
        help='Fetch the load of each backend server.',
    )
    parser = nouns.add_parser(
        'roll-out', help="Show operators' orders to move traffic."
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    verb = verbs.add_parser('list', help=hosted_commands.list_roll_outs.__doc__)
    verb.set_defaults(run=hosted_commands.list_roll_outs)
    verb = verbs.add_parser('show', help=hosted_commands.show_roll_out.__doc__)
    verb.set_defaults(run=hosted_commands.show_roll_out)
    verb.add_argument('service', help='Service whose traffic moves.')
    parser = nouns.add_parser(
        'quarantine', help='Show and lift blocks of requests.'
    )
    verbs = parser.add_subparsers(dest='verb', required=True)
    verb = verbs.add_parser(
        'list', help=quarantine_commands.list_blocks.__doc__
    )
    verb.set_defaults(run=quarantine_commands.list_blocks)
    verb = verbs.add_parser('lift', help=quarantine_commands.lift_block.__doc__)
    verb.set_defaults(run=quarantine_commands.lift_block)
    verb.add_argument('suspect', help='Suspect as listed.')


def make_parser() -> argparse.ArgumentParser:
    """Return the command line parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='bronzesill',
        description='Operate a fleet of bronzesill daemons.',
        epilog=_EPILOG,
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings',
        type=Path,
        default=_DEFAULT_SETTINGS,
        help='YAML file with the fields store, daemons, operator and key.',
    )
    parser.add_argument(
        '--output',
        choices=OUTPUT_FORMATS,
        default='text',
        help='Output format.',
    )
    nouns = parser.add_subparsers(dest='noun', required=True)
    _add_config_commands(nouns)
    _add_other_commands(nouns)
    _add_move_commands(nouns)
    _add_order_commands(nouns)
    _add_hosted_commands(nouns)
    _add_offline_commands(nouns)
    return parser


async def run_command(options: argparse.Namespace) -> ResultCode:
    """
    Run a command that needs connections to the fleet.

    :param options: parsed command line.
    :returns: result code of the command.
    """
    async with open_context(options) as context:
        code: ResultCode = await options.run(context)
        return code


def _run(options: argparse.Namespace) -> ResultCode:
    if 'run_offline' in options:
        code: ResultCode = options.run_offline(options)
        return code
    return asyncio.run(run_command(options))


def main(argv: Sequence[str] | None = None) -> int:
    """
    Run one command and return its exit status.

    :param argv: arguments, none for those of this process.
    """
    options = make_parser().parse_args(argv)
    try:
        code = _run(options)
    except DocumentInvalid as error:
        for fault in error.faults:
            sys.stderr.write(f'{options.settings}: {fault}\n')
        return _EXIT_USAGE
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_USAGE
    except BronzesillError as error:
        sys.stderr.write(f'{error}\n')
        code = error.code
    if code is ResultCode.DONE:
        return 0
    return _EXIT_CODE_BASE + code // 1000


if __name__ == '__main__':
    sys.exit(main())
