"""The end of the daemon process after a signal for a planned stop."""

import re
import subprocess
import sys
import unittest

#: The child ends by itself only after this time, so that a process that is
#: not ended in time is seen on a busy machine too.
_CHILD_S = 120
_TIMEOUT_S = 60
#: The child's event loop is busy for that long after the signal.
_LATE_S = 0.7

_PREFIX = """
import asyncio
import atexit
import os
import signal
import time
from pathlib import Path
from types import SimpleNamespace

from bronzesill.daemon import hosted_program
from bronzesill.daemon.early_sockets import EarlySockets


class Daemon:
    def __init__(self, settings, listeners, started_s):
        self.on_stop = lambda late_s: None

    def begin_stop(self, late_s):
        print(f'late by {late_s:.1f} s')
        self.on_stop(late_s)
        self.stop.set()

    async def wait_for_stop(self):
        await self.stop.wait()

    async def run(self):
        self.stop = asyncio.Event()
        os.kill(os.getpid(), signal.SIGTERM)
        await self.wait_for_stop()
        await self.close()


bounds = SimpleNamespace(grace_s=1.0)
hosted_program.read_settings = lambda path: SimpleNamespace(bounds=bounds)
hosted_program.HostedDaemon = Daemon


def run():
    hosted_program.run_program(Path(), EarlySockets(), 0.0)
"""


_ENDS = """
async def close(self):
    print('closed')


Daemon.close = close
atexit.register(print, 'interpreter ends')
run()
"""

_BLOCKS = f"""
async def close(self):
    time.sleep({_CHILD_S})


Daemon.close = close
run()
"""

_NEVER_ENDS = """
async def close(self):
    while True:
        try:
            await asyncio.sleep(1)
        except asyncio.CancelledError:
            pass


Daemon.close = close
run()
"""

_OUTPUT_IS_FULL = """
import sys

_, full = os.pipe()
os.dup2(full, 1)
# It has a buffer, whatever the environment says.
sys.stdout = os.fdopen(1, 'w')


def fill():
    print('waits in the buffer')
    while True:
        try:
            os.write(1, b'x' * 65536)
        except BlockingIOError:
            return
"""

_FULL_AND_ENDS = f"""
{_OUTPUT_IS_FULL}


async def close(self):
    fill()


Daemon.close = close
atexit.register(time.sleep, {_CHILD_S})
run()
"""

_FULL_AND_BLOCKS = f"""
{_OUTPUT_IS_FULL}


async def close(self):
    fill()
    time.sleep({_CHILD_S})


Daemon.close = close
run()
"""


_IS_LATE = f"""
async def wait_for_stop(self):
    time.sleep({_LATE_S})
    await self.stop.wait()


async def close(self):
    time.sleep({_CHILD_S})


Daemon.wait_for_stop = wait_for_stop
Daemon.close = close
run()
"""


_STOPPED_AS_IT_IS_BUILT = """
class Stopped(Daemon):
    def __init__(self, *arguments):
        os.kill(os.getpid(), signal.SIGTERM)
        super().__init__(*arguments)

    async def run(self):
        self.stop = asyncio.Event()
        await self.stop.wait()
        print('closed')


hosted_program.HostedDaemon = Stopped
run()
"""


def _run(body: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-c', _PREFIX + body],
        capture_output=True,
        timeout=_TIMEOUT_S,
        check=False,
        text=True,
    )


class ProcessEndTest(unittest.TestCase):
    """The process ends within the grace period, whatever it has left to do."""

    # Guards against hosts that are killed at the end of the grace period,
    # seconds after their last step, while the interpreter frees its objects.
    def test_end_does_not_wait_for_the_interpreter(self) -> None:
        ended = _run(_ENDS)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('closed', ended.stdout)
        self.assertNotIn('interpreter ends', ended.stdout)

    # Guards against hosts that are killed as their event loop is late.
    def test_blocked_event_loop_does_not_delay_the_end(self) -> None:
        ended = _run(_BLOCKS)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('exit_forced', ended.stdout)

    # Guards against hosts that count the grace period from the moment at which
    # a late event loop handles the signal.
    def test_grace_period_counts_from_the_signal(self) -> None:
        ended = _run(_IS_LATE)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('exit_forced', ended.stdout)
        late = re.search(r'late by ([\d.]+) s', ended.stdout)
        assert late is not None
        self.assertGreaterEqual(float(late[1]), _LATE_S)

    # Guards against requests that are reset, as the signal comes between the
    # load of the program and the daemon's first step.
    def test_signal_during_the_construction_begins_a_planned_stop(self) -> None:
        ended = _run(_STOPPED_AS_IT_IS_BUILT)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('closed', ended.stdout)

    # Guards against hosts that are killed as a step of their end never ends.
    def test_endless_step_does_not_delay_the_end(self) -> None:
        ended = _run(_NEVER_ENDS)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn('exit_forced', ended.stdout)

    # Guards against hosts that are killed, as nobody reads what they log.
    def test_full_output_does_not_delay_the_end(self) -> None:
        for body in (_FULL_AND_ENDS, _FULL_AND_BLOCKS):
            with self.subTest(body=body):
                ended = _run(body)
                self.assertEqual(ended.returncode, 0, ended.stderr)


if __name__ == '__main__':
    unittest.main()
