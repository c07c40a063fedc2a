"""
A daemon joins through seeds of which some are gone.

Pattern: one start, two seeds, one of which takes connections and is silent
until the caller's patience ends.
"""

import asyncio
import unittest
from random import Random
from typing import Any
from unittest import mock

from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address, BronzesillError, ResultCode
from .. import (
    GossipPolicy,
    GossipUpdates,
    Member,
    MembershipController,
    MembershipQueue,
    View,
)

_LIVE = Address('127.0.0.1', 2)
_SILENT = Address('127.0.0.1', 3)
_ANSWER_S = 0.01
_LIMIT_S = 0.1


def _member(name: str, port: int) -> Member:
    return Member(
        name,
        'r',
        'a',
        Address('127.0.0.1', port),
        Address('127.0.0.1', port + 100),
        1,
    )


class _Client:
    """Asks seeds, of which one is silent."""

    async def request(self, seed: Address, _: Any, timeout_s: float) -> View:
        if seed == _SILENT:
            await asyncio.sleep(timeout_s)
            raise BronzesillError(
                ResultCode.PEER_UNAVAILABLE, 'no answer in time'
            )
        await asyncio.sleep(_ANSWER_S)
        return View(GossipUpdates((_member('host-2', _LIVE.port),)))


async def _join() -> tuple[bool, int]:
    """Return whether the live seed was known in time, and who answered."""
    mailbox: MembershipQueue = asyncio.Queue()
    client: Any = _Client()
    membership = MembershipController(
        _member('host-1', 1),
        mock.Mock(),
        mailbox,
        client,
        Random(1),
        GossipPolicy(),
    )
    running = asyncio.create_task(membership.run())
    joining = asyncio.create_task(membership.join((_SILENT, _LIVE)))
    await asyncio.sleep(_LIMIT_S)
    is_known = 'host-2' in membership.view.members_by_name
    answered = await joining
    running.cancel()
    return is_known, answered


class JoinTest(unittest.TestCase):
    """The view of each seed is merged as it arrives."""

    # Guards against a host that knows nobody for a second after its start,
    # and answers look-ups with itself only, as one of its seeds is silent.
    def test_silent_seed_does_not_delay_the_view_of_another(self) -> None:
        is_known, answered = run_in_virtual_time(_join())
        self.assertTrue(is_known)
        self.assertEqual(answered, 1)


if __name__ == '__main__':
    unittest.main()
