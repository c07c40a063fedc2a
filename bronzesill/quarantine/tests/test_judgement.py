"""
When a suspect is blocked.

Pattern: requests crash servers again and again; others are on the same servers,
and answers to those began somewhere in the fleet.
"""

import unittest
from random import Random

from ..identity import request_suspect
from ..judgement import Judge, Verdict, WatchedSuspects
from ..messages import CrashReport

_SETTLED_S = 0.06
_HELD_S = 5.0
_LAPSED_S = 7.0


def _crash(
    number: int, request: str = 'r', suspect: str = 'request/r'
) -> CrashReport:
    return CrashReport(suspect, (), f's{number}', 'abc'[number % 3], request, 0)


class JudgeTest(unittest.TestCase):
    """A suspect is blocked once the fleet had time to speak for it."""

    def test_request_is_blocked_after_three_crashes(self) -> None:
        judge = Judge()
        verdicts = [
            judge.add_crash(_crash(number), number).verdict
            for number in range(3)
        ]
        self.assertEqual(verdicts, [Verdict.NOTHING, Verdict.ASK, Verdict.ASK])
        early = judge.judge('request/r', 2.01)
        self.assertEqual(early.verdict, Verdict.WAIT)
        self.assertLess(early.wait_s, _SETTLED_S)
        late = judge.judge('request/r', 2 + _SETTLED_S)
        self.assertEqual(late.verdict, Verdict.BLOCK)

    # Guards against blocking what is answered elsewhere.
    def test_answer_that_is_told_in_time_clears(self) -> None:
        judge = Judge()
        for number in range(3):
            judge.add_crash(_crash(number), number)
        judge.add_start('request/r', 1.5)
        judged = judge.judge('request/r', 2 + _SETTLED_S)
        self.assertEqual(judged.verdict, Verdict.NOTHING)

    # Guards against blaming a request that was thrice on a server with one that
    # crashes servers by a part that they may share.
    def test_request_with_shared_parts_needs_four_crashes(self) -> None:
        suspect = request_suspect('r', ('part/p',))
        judge = Judge()
        for number in range(3):
            judge.add_crash(_crash(number, suspect=suspect), number)
        three = judge.judge(suspect, 2 + _SETTLED_S)
        self.assertEqual(three.verdict, Verdict.NOTHING)
        judge.add_crash(_crash(3, suspect=suspect), 3)
        four = judge.judge(suspect, 3 + _SETTLED_S)
        self.assertEqual(four.verdict, Verdict.BLOCK)

    def test_part_needs_two_requests(self) -> None:
        judge = Judge()
        for number in range(3):
            judge.add_crash(_crash(number, suspect='part/p'), number)
        one = judge.judge('part/p', 2 + _SETTLED_S)
        self.assertEqual(one.verdict, Verdict.NOTHING)
        judge.add_crash(_crash(3, 'q', 'part/p'), 3)
        two = judge.judge('part/p', 3 + _SETTLED_S)
        self.assertEqual(two.verdict, Verdict.BLOCK)

    # A failure domain dies every 2 s; each request is answered elsewhere
    # within 1.2 s.
    def test_sound_requests_on_hard_days(self) -> None:
        for seed in range(200):
            random = Random(seed)
            judge = Judge()
            for death in range(30):
                at_s = 2 * death
                for lost in range(random.randint(0, 6)):
                    domain = 'abc'[death % 3]
                    report = CrashReport(
                        'request/r',
                        (),
                        f's{death}.{lost}',
                        domain,
                        'r',
                        random.random() / 10,
                    )
                    judge.add_crash(report, at_s + random.random() / 10)
                judged = judge.judge('request/r', at_s + 0.2)
                self.assertNotEqual(judged.verdict, Verdict.BLOCK)
                judge.add_start('request/r', at_s + 1.2 * random.random())


class WatchedSuspectsTest(unittest.TestCase):
    """A suspect is held for a while, unless an answer to it began."""

    def test_held_until_answered_or_lapsed(self) -> None:
        watched = WatchedSuspects()
        self.assertFalse(watched.is_held('request/r', 0))
        watched.watch('request/r', 1)
        self.assertTrue(watched.is_held('request/r', 1 + _HELD_S))
        self.assertFalse(watched.is_held('request/r', 1 + _LAPSED_S))
        self.assertTrue(watched.record_start('request/r', 2))
        self.assertFalse(watched.is_held('request/r', 2))

    def test_starts_are_told_now_and_then(self) -> None:
        watched = WatchedSuspects()
        told = sum(watched.may_tell('request/r', at / 100) for at in range(100))
        self.assertEqual(told, 4)

    # Guards against callers that make a host remember a million bodies.
    def test_bounded(self) -> None:
        watched = WatchedSuspects()
        for number in range(6000):
            watched.record_start(f'request/{number}', number)
        self.assertFalse(watched.has_started('request/0'))
        self.assertTrue(watched.has_started('request/5999'))
