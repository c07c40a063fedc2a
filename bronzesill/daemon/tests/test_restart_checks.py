"""
Checks for restarted servers on a busy host.

Pattern: the event loop of a busy host is late by a fifth of a second; that is
no pause of the process, so what was read before still counts.
"""

import unittest

from ...routing import LastActivity
from ..restart_detector import CHECK_INTERVAL_S

_REUSE_S = 2.0
_LATE_S = 0.2


class LateCheckTest(unittest.TestCase):
    """A late check does not discard the activity of servers."""

    def test_server_counts_as_active_after_a_late_check(self) -> None:
        activity = LastActivity(_REUSE_S).with_check(10).with_check(10.1)
        # A pause is assumed at the first check; activity counts after it.
        activity = activity.with_check(10.4).with_check(10.6)
        activity = activity.with_activity('s', 10.7)
        late_s = 10.6 + CHECK_INTERVAL_S + _LATE_S
        activity = activity.with_check(late_s)
        self.assertTrue(activity.may_be_restart('s', late_s))


if __name__ == '__main__':
    unittest.main()
