"""Verdicts on single observations."""

import unittest

from ..observations import Answer, Observations, RequestKind, Run, Sent, Stop
from ..verdict import End, classify, find_breaches

_TERM_S = 100.0
_EXIT_S = 107.5
_STOP = Stop(0, _TERM_S, _EXIT_S, was_killed=False)


def _sent(
    at_s: float, kind: RequestKind = RequestKind.STREAM, host: int = 0
) -> Sent:
    return Sent('r', kind, host, at_s, at_s, timeout_s=25)


def _observe(sent: Sent, answer: Answer, *runs: Run, **seen: object) -> End:
    return classify(_seen(sent, answer, *runs, **seen), sent, answer)


def _seen(
    sent: Sent, answer: Answer, *runs: Run, **fields: object
) -> Observations:
    passed_on = frozenset(('r',)) if runs else frozenset()
    merged = {'stops': (_STOP,), 'passed_on': passed_on, **fields}
    return Observations({sent: answer}, {'r': runs}, **merged)  # type: ignore[arg-type]


def _rules(sent: Sent, answer: Answer, *runs: Run) -> list[str]:
    seen = _seen(sent, answer, *runs)
    return [breach.rule for breach in find_breaches(seen)]


class LostTest(unittest.TestCase):
    """Requests without a whole answer, and the exceptions."""

    def test_server_at_work_on_early_request_is_excused(self) -> None:
        run = Run('e', 99.0, 107.4)
        for at_s, end in ((98.0, End.CUT_AT_WORK), (103.1, End.CUT)):
            with self.subTest(at_s=at_s):
                seen = _observe(_sent(at_s), Answer(107.4), run)
                self.assertEqual(seen, end)

    def test_request_without_server_at_work_is_lost(self) -> None:
        run = Run('e', 99.0, 105.0)
        seen = _observe(_sent(98.0), Answer(107.4), run)
        self.assertEqual(seen, End.CUT)

    def test_request_that_crosses_the_close_is_no_loss(self) -> None:
        seen = _observe(_sent(104.0), Answer(104.1))
        self.assertEqual(seen, End.CROSSED)
        self.assertEqual(_observe(_sent(104.0), Answer(104.3)), End.CUT)

    def test_request_at_a_starting_process_is_unread(self) -> None:
        stop = Stop(0, _TERM_S, 100.3, was_killed=False, was_ready=False)
        answer = Answer(100.3)
        seen = _observe(_sent(98.0), answer, stops=(stop,))
        self.assertEqual(seen, End.CROSSED)
        run = Run('e', 98.0, 100.3)
        seen = _observe(_sent(98.0), answer, run, stops=(stop,))
        self.assertEqual(seen, End.CUT)

    def test_time_counts_from_the_first_byte(self) -> None:
        sent = Sent('r', RequestKind.STREAM, 0, 80.0, 90.0, timeout_s=25)
        run = Run('e', 99.0, 105.0)
        self.assertEqual(_observe(sent, Answer(104.9), run), End.CUT)
        self.assertEqual(_observe(sent, Answer(105.0), run), End.TIMED_OUT)

    def test_request_that_was_passed_on_is_lost_at_once(self) -> None:
        seen = _observe(_sent(104.0), Answer(104.1), Run('e', 104.0, 104.1))
        self.assertEqual(seen, End.CUT)

    def test_server_that_broke_off_is_excused(self) -> None:
        run = Run('e', 104.0, 105.0)
        for name, end in (('e', End.CUT_DISRUPTED), ('f', End.CUT)):
            with self.subTest(server=name):
                seen = _observe(
                    _sent(104.0),
                    Answer(105.1),
                    run,
                    broken_servers=((name, 105.0),),
                )
                self.assertEqual(seen, end)

    def test_disruption_before_the_request_is_excused_for_its_time(
        self,
    ) -> None:
        run = Run('e', 104.0, 105.0)
        cases = ((100.9, End.CUT), (101.1, End.CUT_DISRUPTED))
        for last_s, end in cases:
            with self.subTest(last_s=last_s):
                seen = _observe(
                    _sent(104.0),
                    Answer(105.1),
                    run,
                    disruptions=((99.0, last_s),),
                )
                self.assertEqual(seen, end)

    def test_cut_at_a_reloaded_host_is_lost(self) -> None:
        run = Run('e', 51.0)
        reloads = ((0, 50.0),)
        cases = ((51.9, End.CUT), (52.1, End.CUT_UNPLANNED))
        for at_s, end in cases:
            with self.subTest(at_s=at_s):
                seen = _observe(_sent(at_s), Answer(53), run, reloads=reloads)
                self.assertEqual(seen, end)

    def test_other_host_is_not_in_its_stop(self) -> None:
        run = Run('e', 99.0, 105.0)
        seen = _observe(_sent(98.0, host=1), Answer(107.4), run)
        self.assertEqual(seen, End.CUT_UNPLANNED)

    def test_cut_beside_a_configuration_only(self) -> None:
        sent, run = _sent(50.0), Run('e', 50.0)
        for at_s, rules in ((50.5, ['LOST']), (60.0, [])):
            with self.subTest(at_s=at_s):
                seen = _seen(sent, Answer(52), run, configured_at_s=(at_s,))
                found = [breach.rule for breach in find_breaches(seen)]
                self.assertEqual(found, rules)


class OtherRulesTest(unittest.TestCase):
    """Rules about runs and bodies."""

    def test_order_that_ran_twice(self) -> None:
        sent = _sent(90, RequestKind.ORDER)
        answer = Answer(91, 502, is_complete=True)
        runs = (Run('a', 90, 91), Run('b', 90, 91))
        self.assertEqual(_rules(sent, answer, *runs), ['TWICE'])
        self.assertEqual(_rules(sent, answer, runs[0]), [])

    def test_order_that_was_refused_and_ran(self) -> None:
        sent = _sent(90, RequestKind.ORDER)
        answer = Answer(91, 503, is_complete=True)
        self.assertEqual(_rules(sent, answer), [])
        self.assertEqual(_rules(sent, answer, Run('a', 92)), ['REFUSED'])

    def test_stream_with_missing_piece(self) -> None:
        answer = Answer(
            91, 200, is_complete=True, has_signature=True, is_prefix=False
        )
        self.assertEqual(_rules(_sent(90), answer), ['ORDER'])

    def test_stream_that_ends_early_as_complete(self) -> None:
        answer = Answer(91, 200, is_complete=True, has_signature=True)
        self.assertEqual(_rules(_sent(90), answer), ['ORDER'])

    def test_signature_must_fit_the_status(self) -> None:
        success = Answer(91, 200, is_complete=True, is_whole=True)
        failure = Answer(91, 502, is_complete=True, has_signature=True)
        for answer in (success, failure):
            self.assertEqual(_rules(_sent(90), answer), ['MIXED'])

    def test_fleet_that_does_not_serve_again(self) -> None:
        for served, rules in ((5, []), (4, ['RECOVER'])):
            answers = {
                Sent(f'{number}', RequestKind.CHECK, 0, 113, 113, 1.5): Answer(
                    114, 200, True, True, True, number < served
                )
                for number in range(20)
            }
            seen = Observations(answers, {}, fleet_returns_at_s=(100.0,))
            found = [
                breach.rule
                for breach in find_breaches(seen)
                if breach.rule == 'RECOVER'
            ]
            self.assertEqual(found, rules)


if __name__ == '__main__':
    unittest.main()
