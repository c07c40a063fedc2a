"""
Look-ups at a host that has just started and knows no other host yet.

Pattern: callers ask in the first moment of a return, once each, before or
after the host has joined another one, or at a host that stays alone.
"""

import asyncio
import dataclasses
import unittest
from collections.abc import Coroutine
from random import Random
from typing import Any
from unittest import mock

from ...membership import (
    GossipPolicy,
    GossipUpdates,
    Member,
    MembershipController,
    MembershipQueue,
    ViewFetched,
)
from ...platform.http_apps import ListedAddresses
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address
from ..hosted_fleet import HostedFleet

#: Time in which a caller must have its answer; it turns away after a second.
_PATIENCE_S = 0.4
_JOIN_S = 0.1
_LATE_JOIN_S = 2.0
_LONG_S = 60.0
_TTL_S = 2.0


def _member(number: int) -> Member:
    return Member(
        f'host-{number}',
        'r',
        'a',
        Address('127.0.0.1', number),
        Address('127.0.0.1', number + 100),
        1,
    )


_OWN = _member(1)
_OTHER = _member(2)
_BOTH = {_OWN.callers, _OTHER.callers}


class _Host:
    """A host that starts; creating it requires a running event loop."""

    def __init__(self) -> None:
        self._mailbox: MembershipQueue = asyncio.Queue()
        self._membership = MembershipController(
            _OWN,
            mock.Mock(),
            self._mailbox,
            mock.Mock(),
            Random(1),
            GossipPolicy(),
        )
        self._running = asyncio.create_task(self._membership.run())
        self.fleet = HostedFleet(mock.Mock(), self._membership, (), Random(1))

    def join(self) -> None:
        """Learn of another host, as from a seed."""
        self._mailbox.put_nowait(ViewFetched(GossipUpdates((_OTHER,))))

    async def look_up(self) -> tuple[ListedAddresses, float]:
        """Return an answer and the seconds that it took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        listed = await self.fleet.look_up('a')
        return listed, loop.time() - began_s

    async def end(self) -> None:
        self._running.cancel()


@dataclasses.dataclass(frozen=True)
class _Answers:
    first: ListedAddresses
    first_s: float
    later: ListedAddresses
    later_s: float


async def _ask(join_s: float, later_s: float) -> _Answers:
    """
    Ask a host that starts at once and later.

    :param join_s: seconds after which it learns of another host.
    :param later_s: seconds from the start to the second question.
    """
    host = _Host()
    loop = asyncio.get_running_loop()
    loop.call_later(join_s, host.join)
    first, first_s = await host.look_up()
    await asyncio.sleep(later_s - first_s)
    later, took_s = await host.look_up()
    await host.end()
    return _Answers(first, first_s, later, took_s)


async def _ask_as_it_stops() -> tuple[ListedAddresses, float]:
    host = _Host()
    asyncio.get_running_loop().call_soon(host.fleet.publish_stop)
    answer = await host.look_up()
    await host.end()
    return answer


def _run(play: Coroutine[Any, Any, Any]) -> Any:
    return run_in_virtual_time(play)


class FirstLookUpsTest(unittest.TestCase):
    """The directory waits for another host, for a short time."""

    # Guards against a return of the whole fleet in which hosts name only
    # themselves, so that their callers stay with them.
    def test_answer_waits_until_another_host_is_known(self) -> None:
        answers = _run(_ask(_JOIN_S, _LONG_S))
        self.assertEqual(set(answers.first.addresses), _BOTH)
        self.assertAlmostEqual(answers.first_s, _JOIN_S, 2)
        self.assertEqual(answers.first.ttl_s, _TTL_S)

    # Guards against callers that lose their time at a host that is alone.
    def test_host_that_is_alone_answers_soon(self) -> None:
        answers = _run(_ask(_LONG_S * 2, _LONG_S))
        self.assertEqual(answers.first.addresses, (_OWN.callers,))
        self.assertLess(answers.first_s, _PATIENCE_S)
        self.assertEqual(answers.later.addresses, (_OWN.callers,))
        self.assertEqual(answers.later_s, 0)
        self.assertEqual(answers.later.ttl_s, _TTL_S)

    # Guards against callers that keep the answer of a host that knew nobody
    # for seconds after it has found the others.
    def test_answer_of_a_host_that_finds_others_late_is_kept_briefly(
        self,
    ) -> None:
        answers = _run(_ask(_LATE_JOIN_S, _LATE_JOIN_S + _JOIN_S))
        self.assertLess(answers.first_s, _PATIENCE_S)
        self.assertLess(answers.first.ttl_s, _TTL_S)
        self.assertEqual(set(answers.later.addresses), _BOTH)
        self.assertEqual(answers.later.ttl_s, _TTL_S)

    # Guards against a look-up that delays a planned stop.
    def test_stop_ends_the_wait(self) -> None:
        listed, took_s = _run(_ask_as_it_stops())
        self.assertEqual(listed.addresses, (_OWN.callers,))
        self.assertEqual(took_s, 0)


if __name__ == '__main__':
    unittest.main()
