"""Tests of the operators' tool with a small fleet."""

import contextlib
import io
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import yaml

from ...standins.fleet import Fleet, FleetPlan
from ...utils import BronzesillError, ResultCode
from ..main import make_parser, run_command


class ToolTest(unittest.IsolatedAsyncioTestCase):
    """Output and result codes of the commands."""

    async def asyncSetUp(self) -> None:
        plan = FleetPlan(daemons=2, engines=1, new_engines=1)
        self.fleet = await Fleet(plan).__aenter__()
        self.folder = TemporaryDirectory()
        self.path = Path(self.folder.name)
        tool = {
            'store': str(self.fleet.store.address),
            'daemons': [str(each.address) for each in self.fleet.daemons],
            'operator': 'giorgi',
        }
        (self.path / 'tool.yaml').write_text(yaml.safe_dump(tool))
        base = yaml.safe_dump(self.fleet.base_document())
        (self.path / 'base.yaml').write_text(base)
        overlay = 'limits: {max_waiting: 3}\n'
        (self.path / 'test.yaml').write_text(overlay)

    async def asyncTearDown(self) -> None:
        self.folder.cleanup()
        await self.fleet.__aexit__()

    async def run_tool(self, *arguments: str) -> tuple[ResultCode, str]:
        settings = ('--settings', str(self.path / 'tool.yaml'))
        options = make_parser().parse_args([*settings, *arguments])
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = await run_command(options)
        return code, output.getvalue()

    def file_arguments(self) -> tuple[str, ...]:
        return (
            '--base',
            str(self.path / 'base.yaml'),
            '--overlay',
            f'test={self.path / "test.yaml"}',
        )

    async def test_apply_wait_history_and_audit(self) -> None:
        code, shown = await self.run_tool(
            'config',
            'apply',
            *self.file_arguments(),
            '--reason',
            'noon',
            '--wait',
        )
        self.assertIs(code, ResultCode.DONE)
        self.assertIn('in force on 2 daemons', shown)
        for daemon in self.fleet.daemons:
            self.assertEqual(daemon.status().revision, 2)
        _, shown = await self.run_tool('config', 'history')
        self.assertIn('giorgi', shown)
        _, shown = await self.run_tool('--output', 'json', 'audit')
        self.assertIn('"reason": "noon"', shown)

    async def test_dry_run_changes_nothing(self) -> None:
        _, shown = await self.run_tool(
            'config',
            'apply',
            *self.file_arguments(),
            '--reason',
            'x',
            '--dry-run',
        )
        self.assertIn('+limits: {max_waiting: 3}', shown)
        self.assertEqual(self.fleet.daemons[0].status().revision, 1)

    async def test_unexpected_revision_is_rejected(self) -> None:
        with self.assertRaises(BronzesillError) as caught:
            await self.run_tool(
                'config',
                'apply',
                *self.file_arguments(),
                '--reason',
                'x',
                '--expect',
                '9',
            )
        self.assertIs(caught.exception.code, ResultCode.REVISION_CONFLICT)

    async def test_every_fault_is_listed(self) -> None:
        (self.path / 'test.yaml').write_text('limits: {max_waiting: x}\n')
        code, shown = await self.run_tool(
            'config', 'validate', *self.file_arguments()
        )
        self.assertIs(code, ResultCode.DOCUMENT_INVALID)
        self.assertIn('site test: expected int', shown)
        self.assertIn('$.limits.max_waiting', shown)

    async def test_move_and_handover(self) -> None:
        command = (
            'move create guide-v2 --subject guide --from v1 --to v2 '
            '--deadline-in-s 90 --reason newer'
        )
        code, _ = await self.run_tool(*command.split())
        self.assertIs(code, ResultCode.DONE)
        _, shown = await self.run_tool('handover')
        for part in ('move guide-v2', 'giorgi', 'newer', 'taken back'):
            self.assertIn(part, shown)
        code, shown = await self.run_tool(
            'move', 'take-back', 'guide-v2', '--reason', 'late'
        )
        self.assertIn('taken_back', shown)
        code, _ = await self.run_tool('move', 'wait', 'guide-v2')
        self.assertIs(code, ResultCode.MOVE_ENDED)
        _, shown = await self.run_tool('handover')
        self.assertEqual(shown.strip(), 'none')

    async def test_hosts_are_listed(self) -> None:
        _, shown = await self.run_tool('host', 'list')
        self.assertIn('entry-0', shown)
        self.assertIn('entry-1', shown)
