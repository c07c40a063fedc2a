"""Requests of a soak, chosen by its seed."""

from __future__ import annotations

import dataclasses
import random
import re
import types
from collections.abc import Mapping

from ..standins.caller_head import CallerHead
from ..standins.worker import expected_events
from .connection import RawAnswer
from .load_configuration import UPLOAD_ROUTE, account_key
from .observations import Answer, RequestKind
from .servers import EVENTS, ROUTE_TIMEOUTS_S

__all__ = ['SERVICE_NAME', 'Request', 'choose_request', 'describe_answer']

#: Host name of all routes.
SERVICE_NAME = 'shop.example'
_MS_PER_S = 1000
_TOKENS_PER_EVENT = 8
_CHUNKED_SHARE = 0.3
_SLOW_SHARE = 0.2
_MAX_PARTS = 4
_PAUSE_S = 0.03
#: Pause between the parts of a stream's body that comes slowly.
_SLOW_PAUSE_S = 0.8
_STREAM_BODY_BYTES = 4000
_CALL_BODY_BYTES = 600
_UPLOAD_BODY_BYTES = 900_000
_ROUTES: Mapping[RequestKind, str] = types.MappingProxyType(
    {
        RequestKind.STREAM: 'guides',
        RequestKind.ORDER: 'orders',
        RequestKind.CHECK: 'lookups',
    }
)
_SERVED = re.compile(rb'[a-z]+-\d\+* did (POST|GET) (\d+)')
_NO_BODY_STATUS = 200


@dataclasses.dataclass(frozen=True)
class Request:
    """
    A request before it is sent.

    :param request_id: id of the request.
    :param kind: kind of request.
    :param route: name of the route.
    :param body: body of the request.
    :param parts: body as sent.
    :param pause_s: pause in seconds between two parts.
    """

    request_id: str
    kind: RequestKind
    route: str
    body: bytes
    parts: tuple[bytes, ...]
    pause_s: float

    @property
    def timeout_s(self) -> float:
        """Time in seconds that the route and the caller allow."""
        return ROUTE_TIMEOUTS_S[self.route]

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunks."""
        return len(self.parts) > 1

    def head(self, account: str) -> bytes:
        """Return the request line and the headers that an account sends."""
        is_stream = self.kind is RequestKind.STREAM
        head = CallerHead(
            'GET' if self.kind is RequestKind.CHECK else 'POST',
            f'/{self.route}/{self.request_id}',
            SERVICE_NAME,
            self.request_id,
            int(self.timeout_s * _MS_PER_S),
            len(self.body),
            self.is_chunked,
            prompt_tokens=len(self.body) if is_stream else 0,
            output_tokens=EVENTS * _TOKENS_PER_EVENT,
            key=account_key(account),
        )
        return head.encode()


def choose_request(
    rng: random.Random, kind: RequestKind, request_id: str, route: str = ''
) -> Request:
    """
    Return a request of a kind with a random body, whole or in chunks.

    :param rng: source of random choices.
    :param kind: kind of request.
    :param request_id: id of the request.
    :param route: name of the route, empty for the usual one of the kind.
    """
    body = _make_body(rng, kind, route)
    is_chunked = bool(body) and rng.random() < _CHUNKED_SHARE
    is_slow = kind is RequestKind.STREAM and rng.random() < _SLOW_SHARE
    return Request(
        request_id,
        kind,
        route or _ROUTES[kind],
        body,
        _split(rng, body) if is_chunked else (body,),
        _SLOW_PAUSE_S if is_slow else _PAUSE_S,
    )


def describe_answer(
    request: Request, raw: RawAnswer, ended_at_s: float
) -> Answer:
    """Compare an answer with what the server sends to the request."""
    is_whole, is_prefix = _compare(request, raw.body)
    return Answer(
        ended_at_s,
        raw.status,
        raw.is_complete,
        has_signature='x-server-signature' in raw.headers,
        is_prefix=is_prefix,
        is_whole=is_whole and raw.status == _NO_BODY_STATUS,
    )


def _compare(request: Request, body: bytes) -> tuple[bool, bool]:
    if request.kind is RequestKind.STREAM:
        expected = expected_events(request.body, EVENTS)
        return body == expected, expected.startswith(body)
    served = _SERVED.fullmatch(body)
    is_whole = served is not None and int(served[2]) == len(request.body)
    return is_whole, is_whole or not body


def _make_body(rng: random.Random, kind: RequestKind, route: str) -> bytes:
    if kind is RequestKind.CHECK:
        return b''
    size = _CALL_BODY_BYTES
    if kind is RequestKind.STREAM:
        size = _STREAM_BODY_BYTES
    if route == UPLOAD_ROUTE:
        size = _UPLOAD_BODY_BYTES
    return rng.randbytes(size // 2).hex().encode()


def _split(rng: random.Random, body: bytes) -> tuple[bytes, ...]:
    """Return the chunks of a body and its end, each as sent."""
    count = rng.randint(2, _MAX_PARTS)
    size = -(-len(body) // count)
    chunks = (body[at : at + size] for at in range(0, len(body), size))
    encoded = (b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks)
    return (*encoded, b'0\r\n\r\n')
