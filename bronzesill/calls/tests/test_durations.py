"""Prediction of how long a request takes, from those that were answered."""

import unittest

from ..durations import DurationLog, ObservedRequest, RequestSize

_SERVICE = 'engines'
_NOW_S = 100.0
_LARGE = RequestSize(8_000, 1_000)
_SMALL = RequestSize(2_000, 200)
_RUNNING = 20
#: Whole answers that show that servers take requests again.
_MIN_SERVED = 8


def _log_of(*requests: ObservedRequest) -> DurationLog:
    """Return a log of enough requests: the given ones, again and again."""
    log = DurationLog()
    for number in range(16):
        log.record(_SERVICE, requests[number % len(requests)])
    return log


class PredictionTest(unittest.TestCase):
    """Durations are predicted from the slowest requests of the last minute."""

    # Guards against a stopping host that takes streams by a fixed rate of its
    # own while engines read other prompts first.
    def test_slowest_start_and_pauses_count(self) -> None:
        usual = ObservedRequest(_LARGE, _NOW_S, 1.0, 5.0, 0.1)
        queued = ObservedRequest(_LARGE, _NOW_S, 4.0, 5.0, 1.0)
        log = _log_of(usual, queued)
        predicted_s = log.predict_s(_SERVICE, _SMALL, _NOW_S)
        self.assertIsNotNone(predicted_s)
        # It may wait 4 s as the queued one did, meet two of its pauses and
        # need a second for its tokens.
        self.assertGreaterEqual(predicted_s or 0, 7)

    def test_larger_prompts_take_longer(self) -> None:
        log = _log_of(ObservedRequest(_SMALL, _NOW_S, 0.5, 1.0))
        predicted_s = log.predict_s(_SERVICE, _LARGE, _NOW_S)
        # Four times as long a prompt, five times as many tokens.
        self.assertGreaterEqual(predicted_s or 0, 2 + 5)

    def test_unstated_size_takes_as_long_as_any(self) -> None:
        log = _log_of(ObservedRequest(_LARGE, _NOW_S, 1.0, 5.0))
        predicted_s = log.predict_s(_SERVICE, RequestSize(), _NOW_S)
        self.assertGreaterEqual(predicted_s or 0, 6)

    def test_too_few_or_old_requests_tell_nothing(self) -> None:
        few = DurationLog()
        few.record(_SERVICE, ObservedRequest(_SMALL, _NOW_S, 0.5, 1.0))
        self.assertIsNone(few.predict_s(_SERVICE, _SMALL, _NOW_S))
        old = _log_of(ObservedRequest(_SMALL, _NOW_S - 61, 0.5, 1.0))
        self.assertIsNone(old.predict_s(_SERVICE, _SMALL, _NOW_S))
        self.assertIsNone(old.predict_s('shop', _SMALL, _NOW_S))

    # Guards against predictions from the streams that ended alone, which are
    # the fast ones while the load grows.
    def test_running_requests_count(self) -> None:
        log = _log_of(ObservedRequest(_SMALL, _NOW_S, 0.5, 1.0))
        waiting = ObservedRequest(_SMALL, _NOW_S, 8.0, is_whole=False)
        number = log.begin(_SERVICE, lambda _: waiting)
        self.assertGreaterEqual(log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0, 8)
        log.end(_SERVICE, number, _NOW_S)
        self.assertGreaterEqual(log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0, 8)
        self.assertLess(log.predict_s('shop', _SMALL, _NOW_S) or 0, 8)

    # Guards against a stream that is taken because slow ones have not run for
    # long yet.
    def test_running_streams_count_at_their_pace(self) -> None:
        log = _log_of(
            ObservedRequest(_SMALL, _NOW_S, 0.5, 1.0, is_whole=True, events=9)
        )
        slow = ObservedRequest(
            _SMALL, _NOW_S, 0.5, 1.8, is_whole=False, events=3
        )
        log.begin(_SERVICE, lambda _: slow)
        self.assertGreaterEqual(
            log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0, 0.5 + 5.4
        )

    # Guards against an event loop that is late at a stop, as each open request
    # goes through all running ones.
    def test_running_requests_are_observed_once_at_a_time(self) -> None:
        log = _log_of(ObservedRequest(_SMALL, _NOW_S, 0.5, 1.0))
        observed_at_s: list[float] = []

        def observe(now_s: float) -> ObservedRequest:
            observed_at_s.append(now_s)
            return ObservedRequest(_SMALL, now_s, 8.0, is_whole=False)

        for _ in range(_RUNNING):
            log.begin(_SERVICE, observe)
        times_s = (_NOW_S, _NOW_S + 1)
        for now_s in times_s:
            for size in (_LARGE, _SMALL, RequestSize()):
                self.assertGreaterEqual(
                    log.predict_s(_SERVICE, size, now_s) or 0, 8
                )
        self.assertEqual(len(observed_at_s), len(times_s) * _RUNNING)

    def test_requests_without_an_answer_are_no_basis(self) -> None:
        log = _log_of(ObservedRequest(_SMALL, _NOW_S, 0.5, is_whole=False))
        self.assertIsNone(log.predict_s(_SERVICE, _SMALL, _NOW_S))

    # Guards against a minute of refusals at a stop after an engine asked for
    # a pause, while it takes streams again.
    def test_streams_without_a_server_count_until_others_are_served(
        self,
    ) -> None:
        usual = ObservedRequest(_SMALL, _NOW_S - 30, 0.5, 1.0)
        lacking = ObservedRequest(
            _SMALL, _NOW_S - 10, 20.0, is_whole=False, has_lacked_server=True
        )
        log = _log_of(usual)
        log.record(_SERVICE, lacking)
        # These began before its end, so they don't show that it is over.
        early = ObservedRequest(_SMALL, _NOW_S - 9, 0.5, 1.0)
        for _ in range(_RUNNING):
            log.record(_SERVICE, early)
        predicted_s = log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0
        self.assertGreaterEqual(predicted_s, 20)
        later = ObservedRequest(_SMALL, _NOW_S - 1, 0.5, 1.0)
        for _ in range(_MIN_SERVED - 1):
            log.record(_SERVICE, later)
        predicted_s = log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0
        self.assertGreaterEqual(predicted_s, 20)
        log.record(_SERVICE, later)
        predicted_s = log.predict_s(_SERVICE, _SMALL, _NOW_S) or 0
        self.assertLess(predicted_s, 2)

    # Guards against a stopping host that takes large streams for which there
    # is no room, because small ones are served.
    def test_small_streams_do_not_end_a_lack_of_large_ones(self) -> None:
        lacking = ObservedRequest(
            _LARGE, _NOW_S - 10, 20.0, is_whole=False, has_lacked_server=True
        )
        log = DurationLog()
        log.record(_SERVICE, lacking)
        for _ in range(_MIN_SERVED):
            log.record(_SERVICE, ObservedRequest(_SMALL, _NOW_S - 1, 0.5, 1.0))
        predicted_s = log.predict_s(_SERVICE, _LARGE, _NOW_S) or 0
        self.assertGreaterEqual(predicted_s, 20)

    def test_memory_is_bounded(self) -> None:
        log = DurationLog()
        for number in range(1000):
            log.record(_SERVICE, ObservedRequest(_SMALL, number, 0.5))
        recent = log._recent_by_service[_SERVICE]
        self.assertLessEqual(len(recent.observed), 64)


if __name__ == '__main__':
    unittest.main()
