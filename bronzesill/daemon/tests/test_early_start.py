"""
Callers that connect while a daemon is still loading its program.

Pattern: all hosts are killed at once; callers reconnect once, while the
restarted processes load their modules and know no configuration yet.  Or one
host is stopped as it loads, with one request of each kind in the backlog.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import orjson

from ...config import Document
from ...gateway import GatewayState
from ...platform.listen_addresses import (
    SETTINGS_VARIABLE,
    read_listen_addresses,
)
from ...utils import Address, HttpServer
from ..early_sockets import EarlySockets

_HOST = '127.0.0.1'
_WAIT_S = 0.05
_CALLER_PATIENCE_S = 1.0
_WAIT_LONG_S = 20.0
_HTTP_SOCKETS = 3
#: Runs the program with a signal in the middle of its load.
_SIGNALLED_PROGRAM = """
import os, signal, sys
from unittest import mock
from bronzesill.daemon import hosted_main

def load(name):
    os.kill(os.getpid(), signal.SIGHUP)
    return mock.Mock(run_program=lambda *_: 0)

with mock.patch('importlib.import_module', load):
    sys.exit(hosted_main.main())
"""
#: Runs the program with a load that takes long.
_SLOW_PROGRAM = """
import sys, time
from unittest import mock
from bronzesill.daemon import hosted_main

def load(name):
    print('loading', flush=True)
    time.sleep(60)

with mock.patch('importlib.import_module', load):
    sys.exit(hosted_main.main())
"""
#: A planned stop has ended by then on the users' machines.
_EXIT_S = 7.7


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class EarlySocketsTest(unittest.IsolatedAsyncioTestCase):
    """Connections wait in the backlog until the server starts."""

    async def test_request_sent_before_the_server_starts_is_answered(
        self,
    ) -> None:
        address = (_HOST, _free_port())
        listeners = EarlySockets()
        listeners.open((address,))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        server = HttpServer(
            lambda: _answer,
            Address(*address),
            listener=listeners.take(*address),
        )
        await server.start()
        status_line = await reader.readline()
        self.assertIn(b'200', status_line)
        writer.close()
        await server.kill()

    async def test_address_in_use_is_left_to_its_owner(self) -> None:
        address = (_HOST, _free_port())
        with socket.create_server(address):
            listeners = EarlySockets()
            listeners.open((address,))
            self.assertIsNone(listeners.take(*address))

    # Guards against a return of all hosts on busy processors in which callers
    # wait at hosts that still load instead of turning to those that serve.
    async def test_caller_of_a_host_that_loads_long_is_disconnected(
        self,
    ) -> None:
        address = (_HOST, _free_port())
        listeners = EarlySockets()
        listeners.open((address,))
        listeners.close_after(_WAIT_S)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        async with asyncio.timeout(_CALLER_PATIENCE_S):
            with self.assertRaises(ConnectionResetError):
                await reader.readexactly(1)
        writer.close()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        self.assertIsNone(listeners.take(*address))
        server = HttpServer(lambda: _answer, Address(*address))
        await server.start()
        reader, writer = await asyncio.open_connection(*address)
        writer.close()
        await server.kill()

    async def test_socket_in_use_is_not_closed(self) -> None:
        address = (_HOST, _free_port())
        listeners = EarlySockets()
        listeners.open((address,))
        listener = listeners.take(*address)
        listeners.close_after(_WAIT_S)
        await asyncio.sleep(2 * _WAIT_S)
        assert listener is not None
        self.assertGreaterEqual(listener.fileno(), 0)
        listener.close()

    def test_addresses_are_read_from_the_settings_file(self) -> None:
        raw = {
            'ip': '10.0.0.1',
            'portRange': [7200, 7215],
            'listen': {
                'frontend': '10.0.0.1:80',
                'registry': '10.0.0.1:81',
                'readiness': '10.0.0.1:82',
            },
        }
        with tempfile.NamedTemporaryFile() as settings:
            path = Path(settings.name)
            path.write_bytes(orjson.dumps(raw))
            addresses = read_listen_addresses(path)
            self.assertEqual(
                [port for _, port in addresses], [80, 81, 82, 7200]
            )
            path.write_bytes(b'{')
            self.assertEqual(read_listen_addresses(path), ())


class EarlySignalTest(unittest.TestCase):
    """Signals that arrive while the program is loading."""

    # Guards against callers whose connections are reset in the backlog, as a
    # change of the settings ended a process that was loading its program.
    def test_changed_settings_do_not_end_a_process_that_loads(self) -> None:
        program = subprocess.run(
            (sys.executable, '-c', _SIGNALLED_PROGRAM), check=False
        )
        self.assertEqual(program.returncode, 0)


class EarlyStopTest(unittest.TestCase):
    """SIGTERM while the program is loading, with callers in the backlog."""

    def setUp(self) -> None:
        ports = [_free_port() for _ in range(4)]
        settings = self.enterContext(tempfile.NamedTemporaryFile())
        Path(settings.name).write_bytes(_settings_text(ports))
        self.program = subprocess.Popen(
            (sys.executable, '-c', _SLOW_PROGRAM),
            env={**os.environ, SETTINGS_VARIABLE: settings.name},
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.end_program)
        assert self.program.stdout is not None
        self.assertEqual(self.program.stdout.readline(), b'loading\n')
        self.ports = ports

    def end_program(self) -> None:
        assert self.program.stdout is not None
        self.program.stdout.close()
        self.program.kill()
        self.program.wait()

    def connect(self, port: int, sent: bytes) -> socket.socket:
        caller = socket.create_connection((_HOST, port), timeout=_WAIT_LONG_S)
        self.addCleanup(caller.close)
        caller.sendall(sent)
        return caller

    def stop(self) -> None:
        self.program.send_signal(signal.SIGTERM)

    def assert_exits_soon(self, began_s: float) -> None:
        self.assertEqual(self.program.wait(_WAIT_LONG_S), 0)
        self.assertLess(time.monotonic() - began_s, _EXIT_S)

    def assert_refused(self, caller: socket.socket) -> None:
        head, _, rest = _read_all(caller).partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 503 '), head)
        self.assertIn(b'\r\nRetry-After: ', head)
        self.assertIn(b'\r\nConnection: close', head)
        self.assertEqual(rest, b'')

    # Guards against callers whose whole request is cut by a planned stop, as
    # it waits in the backlog of a host that is still loading.
    def test_waiting_requests_are_refused(self) -> None:
        whole = b'GET /a/1 HTTP/1.1\r\nhost: x\r\n\r\n'
        in_parts = b'POST /a/1 HTTP/1.1\r\nContent-Length: 900000\r\n\r\n'
        callers = [
            self.connect(port, request)
            for port in self.ports[:_HTTP_SOCKETS]
            for request in (whole, in_parts, in_parts + b'x' * 300_000)
        ]
        began_s = time.monotonic()
        self.stop()
        for caller in callers:
            with self.subTest(caller=caller):
                self.assert_refused(caller)
                caller.close()
        self.assert_exits_soon(began_s)

    # Guards against a stop that is delayed until its end by callers that send
    # nothing, and against peers that get an answer to callers.
    def test_silent_callers_do_not_delay_the_exit(self) -> None:
        silent = self.connect(self.ports[0], b'')
        peer = self.connect(self.ports[_HTTP_SOCKETS], b'hello')
        began_s = time.monotonic()
        self.stop()
        self.assert_exits_soon(began_s)
        self.assertEqual(_read_all(silent), b'')
        with self.assertRaises(ConnectionResetError):
            _read_all(peer)

    def test_process_without_callers_exits(self) -> None:
        began_s = time.monotonic()
        self.stop()
        self.assert_exits_soon(began_s)


class FirstConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Requests wait for the first configuration, but only at the start."""

    async def test_request_waits_for_the_first_configuration(self) -> None:
        state = GatewayState()
        state.begin_start()
        waiting = asyncio.create_task(state.wait_until_started())
        await asyncio.sleep(_WAIT_S)
        self.assertFalse(waiting.done())
        state.document = Document(accounts={}, models={}, servers={})
        await asyncio.wait_for(waiting, 1)

    async def test_request_does_not_wait_beyond_the_start(self) -> None:
        state = GatewayState()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await state.wait_until_started()
        self.assertLess(loop.time() - began_s, _WAIT_S)


def _settings_text(ports: list[int]) -> bytes:
    frontend, registry, readiness, peers = ports
    listen = {
        'frontend': f'{_HOST}:{frontend}',
        'registry': f'{_HOST}:{registry}',
        'readiness': f'{_HOST}:{readiness}',
    }
    return orjson.dumps(
        {'ip': _HOST, 'portRange': [peers, peers + 1], 'listen': listen}
    )


def _read_all(caller: socket.socket) -> bytes:
    """Return what arrives until the connection ends, without a reset."""
    received = b''
    while part := caller.recv(4096):
        received += part
    return received


async def _answer(scope: object, receive: object, send: object) -> None:
    assert callable(send)
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b''})


if __name__ == '__main__':
    unittest.main()
