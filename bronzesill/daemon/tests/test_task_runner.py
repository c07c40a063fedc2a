"""Background tasks outlive what they did not expect."""

import asyncio
import unittest

from ..task_runner import handle_each, run_tasks


def _refuse(entry: str) -> None:
    if entry == 'odd':
        raise OverflowError(entry)


class TaskRunnerTest(unittest.IsolatedAsyncioTestCase):
    """Failures are logged, and the rest goes on."""

    async def asyncSetUp(self) -> None:
        self.starts = 0
        self.is_steady = asyncio.Event()
        self.has_ended = False

    async def fail_twice(self) -> None:
        self.starts += 1
        if self.starts <= 2:
            raise RecursionError('nested')
        self.is_steady.set()
        await asyncio.Event().wait()

    async def end(self) -> None:
        """Return at once, which a background task must not do."""

    def note_end(self) -> None:
        self.has_ended = True

    # Guards against hosts that stop by themselves because one task met an
    # exception that nobody had thought of.
    async def test_failed_task_is_started_again(self) -> None:
        with self.assertLogs('absl') as logs:
            async with run_tasks([self.fail_twice], self.note_end):
                await asyncio.wait_for(self.is_steady.wait(), 2)
        self.assertFalse(self.has_ended)
        lines = [line for line in logs.records if line.msg == 'task_failed']
        self.assertEqual(len(lines), 2)
        fields = vars(lines[0])['event_fields']
        self.assertEqual(fields['error'], 'RecursionError')
        self.assertIn('fail_twice', fields['trace'])

    async def test_task_that_returns_ends_the_daemon(self) -> None:
        async with run_tasks([self.end], self.note_end):
            await asyncio.sleep(0.05)
        self.assertTrue(self.has_ended)

    # Guards against one odd entry hiding those that were read with it.
    def test_entries_beside_an_odd_one_are_handled(self) -> None:
        handled: list[str] = []

        def handle(entry: str) -> None:
            _refuse(entry)
            handled.append(entry)

        with self.assertLogs('absl') as logs:
            handle_each(('first', 'odd', 'last'), handle, str)
        self.assertEqual(handled, ['first', 'last'])
        self.assertEqual(len(logs.records), 1)
