"""Which requests count as the same one."""

import dataclasses
import unittest

from ...upstream import ForwardRequest
from ..identity import request_identity

_SECRET = b'0123456789abcdef'
_REQUEST = ForwardRequest('id1', 'GET', b'/a', (), b'body', 'huka', 1)


class IdentityTest(unittest.TestCase):
    """Repeats under other ids are the same; one other byte is not."""

    def test_repeat_has_the_same_identity(self) -> None:
        repeat = dataclasses.replace(_REQUEST, request_id='id2')
        self.assertEqual(
            request_identity(_SECRET, repeat),
            request_identity(_SECRET, _REQUEST),
        )

    def test_each_field_counts(self) -> None:
        others = (
            dataclasses.replace(_REQUEST, method='POST'),
            dataclasses.replace(_REQUEST, body=b'bodz'),
            dataclasses.replace(_REQUEST, account='hukb'),
            dataclasses.replace(_REQUEST, target=b'/b'),
            # Neighbouring fields are kept apart.
            dataclasses.replace(_REQUEST, account='hukab', body=b'ody'),
        )
        identities = {request_identity(_SECRET, request) for request in others}
        identities.add(request_identity(_SECRET, _REQUEST))
        self.assertEqual(len(identities), 6)

    # Guards against bodies being guessed from what the store keeps.
    def test_nothing_without_the_secret(self) -> None:
        self.assertEqual(request_identity(b'', _REQUEST), '')
        self.assertNotEqual(
            request_identity(_SECRET, _REQUEST),
            request_identity(_SECRET.swapcase(), _REQUEST),
        )
