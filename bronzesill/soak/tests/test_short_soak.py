"""Short soak of real processes with a fixed seed."""

import logging
import tempfile
import unittest
from pathlib import Path

from ..report import render
from ..schedule import Plan
from ..soak import Soak
from ..verdict import find_breaches

_PLAN = Plan(seed=1, stops=2, hosts=3, is_disrupted=False)


class ShortSoakTest(unittest.IsolatedAsyncioTestCase):
    """Planned stops, full engines and a configuration under traffic."""

    async def asyncSetUp(self) -> None:
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    # Guards against requests that end without an answer, run twice or are
    # answered wrongly around planned stops.
    async def test_no_rule_is_broken(self) -> None:
        seen = await Soak(_PLAN, self.folder).run()
        breaches = find_breaches(seen)
        report = '\n'.join(render(seen, breaches, self.folder))
        self.assertFalse(breaches, report)
        self.assertTrue(seen.stops)
        whole = [answer.is_whole for answer in seen.answers_by_request.values()]
        self.assertIn(True, whole)


if __name__ == '__main__':
    unittest.main()
