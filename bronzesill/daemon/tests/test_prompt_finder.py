"""
Streams that callers resume after the host that forwarded them is gone.

Pattern: all hosts are killed; callers come back with the number of the last
event that they have, while the engines still hold their prompts.
"""

import unittest
from collections.abc import Mapping
from random import Random

from ...config import BackendServer
from ...generations import GenerationRequest
from ...platform.headers import PlatformDialect
from ...platform.prompts import decode_held_parts
from ...routing import Requirements, ServerTracker, choose_server
from ...upstream import CallerFields, ForwardRequest, Header
from ...utils import Address
from ..prompt_finder import PromptFinder

_PARTS_BY_PORT = {1: {'5c1e': 800}, 2: {'5c1e': 800, '91bd': 410}, 3: {}}


def _tracker(engines: int) -> ServerTracker:
    tracker = ServerTracker()
    tracker.replace_servers(
        {
            f's{port}': BackendServer(
                Address('10.0.0.1', port), 'a', 'v1', model='m', capacity=8
            )
            for port in range(1, engines + 1)
        }
    )
    return tracker


def _request(events_received: int) -> GenerationRequest:
    caller = CallerFields(
        events_received=events_received, own_prompt_part='91bd'
    )
    forward = ForwardRequest('r', 'POST', b'/', (), b'', '', 9, caller)
    return GenerationRequest(
        'r', 'r', '', 'm', '', '', 0, 10, 9, forward=forward
    )


class PromptFinderTest(unittest.IsolatedAsyncioTestCase):
    """A resumed stream goes to the engine that holds its prompt."""

    def setUp(self) -> None:
        self.asked: list[int] = []

    async def fetch(
        self, address: Address, timeout_s: float
    ) -> Mapping[str, int]:
        self.asked.append(address.port)
        return _PARTS_BY_PORT.get(address.port, {})

    async def find(self, events_received: int, engines: int = 3) -> str:
        finder = PromptFinder(_tracker(engines), self.fetch)
        return await finder.find(_request(events_received))

    async def test_holder_of_the_own_part_is_found(self) -> None:
        self.assertEqual(await self.find(events_received=7), 's2')

    async def test_new_request_asks_no_engine(self) -> None:
        self.assertEqual(await self.find(events_received=0), '')
        self.assertEqual(self.asked, [])

    async def test_many_engines_are_not_asked(self) -> None:
        self.assertEqual(await self.find(events_received=7, engines=90), '')
        self.assertEqual(self.asked, [])


class ChoiceTest(unittest.TestCase):
    """The holder is chosen unless it must not be used."""

    def choose(self, tracker: ServerTracker) -> str:
        requirements = Requirements('m', '', prompt_holder='s2')
        chosen = choose_server(tracker.views(0), requirements, Random(1))
        return chosen.name if chosen else ''

    def test_holder_is_chosen(self) -> None:
        self.assertEqual(self.choose(_tracker(20)), 's2')

    def test_leaving_or_suspected_holder_is_not_chosen(self) -> None:
        leaving = _tracker(20)
        leaving.set_leaving('s2', is_leaving=True)
        self.assertNotEqual(self.choose(leaving), 's2')
        suspected = _tracker(20)
        suspected.suspect('s2', 0)
        self.assertNotEqual(self.choose(suspected), 's2')


class DecodingTest(unittest.TestCase):
    """The platform's formats, also malformed ones."""

    def test_own_part_is_the_last_one(self) -> None:
        header = Header(b'x-prefix-hash', b'5c1e:800,91bd:410')
        fields = PlatformDialect().parse_caller_fields((header,))
        self.assertEqual(fields.own_prompt_part, '91bd')

    def test_malformed_lists_hold_nothing(self) -> None:
        for payload in (b'', b'[]', b'{"held":[[1]]}', b'{"held":5}'):
            with self.subTest(payload=payload):
                self.assertEqual(decode_held_parts(payload), {})

    def test_list_is_decoded(self) -> None:
        payload = b'{"epoch":1,"next":2,"held":[["","91bd",410,"m"]]}'
        self.assertEqual(decode_held_parts(payload), {'91bd': 410})


if __name__ == '__main__':
    unittest.main()
