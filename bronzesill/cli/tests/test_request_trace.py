"""Tests of tracing a request in logs and of the commands on files."""

import io
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson

from ..main import main, make_parser
from ..request_trace import parse_line, trace_request


def _line(at_s: float, host: str, **fields: object) -> str:
    document = orjson.dumps({'time_s': at_s, 'level': 'info', **fields})
    return f'  {at_s:.4f} {host} {document.decode()}\n'


_LOG = (
    _line(10.0, 'h1', event='attempt_sent', request='r1', server='s1'),
    _line(9.5, 'h2', event='attempt_lost', request='r0', server='s1'),
    _line(9.0, 'h2', event='call_sent', request='r8', server='s1', status=200),
    _line(5.0, 'h2', event='attempt_lost', request='r9', server='s1'),
    _line(11.0, 'h1', event='attempt_lost', request='r1', cause='silent'),
    _line(11.1, 'h1', text='s1 is gone: another server has its address'),
    'not a line of the log\n',
)


class TraceTest(unittest.TestCase):
    """Selection and order of the steps of a request."""

    def test_steps_of_all_hosts_are_ordered_by_time(self) -> None:
        lines = [parse_line('file', text) for text in _LOG]
        steps = trace_request('r1', [line for line in lines if line])
        rows = [(step.at_s, step.host, step.about) for step in steps]
        self.assertEqual(
            rows,
            [
                (-0.5, 'h2', 'server'),
                (0, 'h1', 'request'),
                (1, 'h1', 'request'),
                (1.1, 'h1', 'server'),
            ],
        )

    def test_restart_of_the_host_during_the_request_is_included(self) -> None:
        start = _line(14.0, 'h1', part='daemon', text='h1 serves on 10.0.0.1:1')
        texts = (_LOG[0], start, start.replace('14.0', '19.0'))
        lines = [parse_line('file', text) for text in texts]
        steps = trace_request('r1', [line for line in lines if line])
        rows = [(step.at_s, step.host, step.about) for step in steps]
        self.assertEqual(rows, [(0, 'h1', 'request'), (4, 'h1', 'host')])

    def test_restart_of_the_host_while_the_request_waits(self) -> None:
        """Guards against a queue lost with its host that goes unseen."""
        wait = _line(10.0, 'h1', event='waiting', request='r1', ahead=3)
        start = _line(14.0, 'h1', part='daemon', text='h1 serves on 10.0.0.1:1')
        lines = [parse_line('file', text) for text in (wait, start)]
        steps = trace_request('r1', [line for line in lines if line])
        self.assertEqual(
            [(step.event, step.about) for step in steps],
            [('waiting', 'request'), ('h1 serves on 10.0.0.1:1', 'host')],
        )
        self.assertIn('ahead 3', steps[0].details)

    def test_unknown_request_has_no_steps(self) -> None:
        line = parse_line('file', _LOG[0])
        assert line is not None
        self.assertEqual(trace_request('other', [line]), [])


class CommandTest(unittest.TestCase):
    """Commands that read files only."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'file'

    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = main(arguments)
        return code, output.getvalue()

    def test_explain(self) -> None:
        self.path.write_text(''.join(_LOG))
        path = str(self.path)
        code, shown = self.run_command('explain', 'r1', '--logs', path)
        self.assertEqual(code, 0)
        self.assertIn('cause silent', shown)
        code, _ = self.run_command('explain', 'r7', '--logs', path)
        self.assertEqual(code, 12)

    def test_check_settings_lists_every_fault(self) -> None:
        self.path.write_text('{"ip": "10.0.0.1"}')
        path = str(self.path)
        code, shown = self.run_command('check-settings', path, '--hosted')
        self.assertEqual(code, 14)
        self.assertIn('$.nodeName', shown)
        self.assertIn('$.platform.address', shown)

    def test_commands_are_listed(self) -> None:
        self.assertIn('check-settings', make_parser().format_help())
