"""Rejected requests get a specific error and leave no state behind."""

import asyncio
import unittest
from typing import Any

from ...standins.fleet import Fleet, FleetPlan
from .caller import ReceivedAnswer, send_request, stream

_PATH = '/v1/completions'


def _body(**changes: Any) -> dict[str, Any]:
    return {'model': 'guide', 'prompt': 'a b c', 'max_tokens': 5, **changes}


class RejectionTest(unittest.IsolatedAsyncioTestCase):
    """Invalid, slow, excess and cancelled requests."""

    async def asyncSetUp(self) -> None:
        plan = FleetPlan(
            limits={
                'max_body_bytes': 2000,
                'body_timeout_s': 0.3,
                'max_waiting': 4,
                'queue_timeout_s': 0.4,
            },
            engines=1,
            capacity=1,
        )
        self.fleet = await Fleet(plan).__aenter__()
        self.daemon = self.fleet.daemons[0]
        self.address = self.daemon.address

    async def asyncTearDown(self) -> None:
        await self.fleet.__aexit__()

    async def assert_rejected(
        self, status: int, code: int, **options: object
    ) -> None:
        got, reply, _ = await send_request(
            self.address, _PATH, 'POST', **options
        )
        self.assertEqual(got, status)
        self.assertEqual(reply['error']['code'], str(code))

    async def test_wrong_requests(self) -> None:
        await self.assert_rejected(400, 1001, data=b'{"model": ')
        await self.assert_rejected(400, 1001, data=b'[]')
        await self.assert_rejected(413, 1002, data=b'x' * 3000)
        wrong_key = {'Authorization': 'Bearer no'}
        await self.assert_rejected(401, 1004, json=_body(), headers=wrong_key)
        await self.assert_rejected(404, 1005, json=_body(model='other'))
        await self.assert_rejected(400, 1007, json=_body(max_tokens='ten'))
        await self.assert_rejected(400, 1007, json={'model': 'guide'})
        status, reply, _ = await send_request(
            self.address, '/shop/none', 'POST'
        )
        self.assertEqual((status, reply['error']['code']), (404, '1006'))

    async def test_slow_body_times_out(self) -> None:
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            'Authorization: Bearer bz-test-caller\r\n'
            'Content-Length: 100\r\n\r\n{'
        )
        writer.write(head.encode())
        async with asyncio.timeout(2):
            line = await reader.readline()
        self.assertIn(b'408', line)
        writer.close()

    async def test_slow_head_times_out(self) -> None:
        document = self.fleet.base_document()
        document['limits']['head_timeout_s'] = 0.3
        number = await self.fleet.apply(document)
        async with asyncio.timeout(8):
            while self.daemon.status().revision != number:
                await asyncio.sleep(0.02)
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(b'POST /v1/completions HTTP/1.1\r\nHost')
        async with asyncio.timeout(3):
            answer = await reader.read()
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '))
        self.assertIn(b'Connection: close', answer)
        writer.close()

    async def test_full_queue_rejects_and_leaves_no_state(self) -> None:
        body = _body(max_tokens=150)
        answers = await asyncio.gather(
            *(stream(self.address, body) for _ in range(40))
        )
        codes = [received.code for received in answers]
        self.assertIn('1009', codes)
        self.assertIn('', codes)
        await asyncio.sleep(0.2)
        status = self.daemon.status()
        self.assertEqual((status.generations, status.waiting), (0, 0))
        self.assertEqual(
            self.fleet.engines_by_name['engine-0'].batch.running, 0
        )

    async def test_disconnect_of_caller_cancels_generation(self) -> None:
        received = ReceivedAnswer()
        answer = asyncio.create_task(
            stream(
                self.address,
                _body(max_tokens=2000),
                received=received,
            )
        )
        async with asyncio.timeout(5):
            while len(received.tokens) < 5:
                await asyncio.sleep(0.005)
        answer.cancel()
        await asyncio.gather(answer, return_exceptions=True)
        await asyncio.sleep(0.5)
        self.assertEqual(self.daemon.status().generations, 0)
        engine = self.fleet.engines_by_name['engine-0']
        self.assertEqual(engine.batch.running, 0)

    async def test_complete_answer_without_streaming(self) -> None:
        status, reply, _ = await send_request(
            self.address, _PATH, 'POST', json=_body()
        )
        self.assertEqual(status, 200)
        self.assertEqual(reply['usage']['completion_tokens'], 5)
        self.assertEqual(len(reply['choices'][0]['text'].split()), 5)

    async def test_addresses_models_and_readiness(self) -> None:
        _, reply, _ = await send_request(self.address, '/v1/addresses')
        self.assertEqual(reply['addresses'], [{'address': str(self.address)}])
        _, reply, _ = await send_request(self.address, '/v1/models')
        self.assertEqual(reply['data'][0]['id'], 'guide')
        status, _, _ = await send_request(self.address, '/readyz')
        self.assertEqual(status, 200)
