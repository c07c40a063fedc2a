"""Headers of requests and answers on the platform."""

from __future__ import annotations

import re

from ..upstream import (
    AnswerHead,
    CallerFields,
    ForwardRequest,
    Header,
    ReportedLoad,
    SendPlan,
)
from ..utils import Address, BronzesillError, ResultCode

__all__ = ['PlatformDialect']

_MS_PER_S = 1000
_OTHER_SERVER = 421

_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,256}')
_BEARER = b'bearer '

#: Names the request; each attempt of a client has its own.
_REQUEST_ID = b'x-attempt-id'
_PATIENCE = b'x-deadline-ms'
_EVENTS_HELD = b'last-event-id'
_USAGE = b'x-token-usage'
_KEY = b'authorization'
_ACCOUNT = b'x-tenant'
_SERVER = b'x-target-instance'
_PRIORITY = b'x-request-priority'
_COPY_TO = b'x-kv-backup'
_COPY_FROM = b'kv-from'
_NOT_RUN = b'x-not-executed'
_ANSWERING = b'x-instance-id'
_LOAD = b'x-instance-load'

#: Headers that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)

#: Headers that only the system sets, whatever the caller sends.
_OWN = frozenset(
    (
        _PATIENCE,
        _KEY,
        _ACCOUNT,
        _SERVER,
        _PRIORITY,
        _COPY_TO,
        _COPY_FROM,
        _EVENTS_HELD,
        b'x-cache-retention',
        b'x-pin-ms',
        b'kv-fetch',
        b'x-expected-version',
    )
)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def request_id(self, headers: tuple[Header, ...]) -> str:
        """Return the name of a request, for the log; empty if it has none."""
        return _text_by_name(headers).get(_REQUEST_ID, b'').decode('latin-1')

    def read_caller(self, headers: tuple[Header, ...]) -> CallerFields:
        """
        Read what a caller says.

        :raises BronzesillError: ``FIELD_INVALID``, a header is not usable.
        """
        text_by_name = _text_by_name(headers)
        request_id = self.request_id(headers)
        if request_id and _ID_PATTERN.fullmatch(request_id) is None:
            raise _invalid(_REQUEST_ID)
        patience_ms = _number(text_by_name, _PATIENCE)
        prompt_tokens, output_tokens = _usage(text_by_name.get(_USAGE, b''))
        return CallerFields(
            request_id=request_id,
            patience_s=None if patience_ms is None else patience_ms / _MS_PER_S,
            events_held=_number(text_by_name, _EVENTS_HELD) or 0,
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            key=_key(text_by_name.get(_KEY, b'')),
        )

    def kept_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return the headers that are passed on to a backend server."""
        dropped = _HOP_BY_HOP | _OWN | _named_by_connection(headers)
        return tuple(header for header in headers if header.name not in dropped)

    def kept_answer_headers(self, head: AnswerHead) -> tuple[Header, ...]:
        """Return the headers that are passed on to the caller."""
        dropped = _HOP_BY_HOP | _named_by_connection(head.headers)
        return tuple(
            header for header in head.headers if header.name not in dropped
        )

    def encode(self, request: ForwardRequest, plan: SendPlan) -> bytes:
        """Return the bytes of a request to a backend server."""
        own = {
            _PATIENCE: str(max(int(plan.left_s * _MS_PER_S), 1)),
            _SERVER: plan.server,
        }
        if request.account:
            own[_ACCOUNT] = request.account
        if plan.events_held:
            own[_EVENTS_HELD] = str(plan.events_held)
        if plan.priority is not None:
            own[_PRIORITY] = str(plan.priority)
        if plan.copy_to is not None:
            own[_COPY_TO] = str(plan.copy_to)
        if plan.copy_from is not None:
            copy = plan.copy_from
            own[_COPY_FROM] = f'{copy.holder}/{copy.run_id}'
        lines = [b'%b %b HTTP/1.1' % (request.method.encode(), request.target)]
        lines.extend(
            b'%b: %b' % (header.name, header.text) for header in request.headers
        )
        lines.extend(
            b'%b: %b' % (name, text.encode('latin-1'))
            for name, text in own.items()
        )
        if request.body or request.method not in {'GET', 'HEAD'}:
            lines.append(b'content-length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', request.body))

    def is_not_run(self, head: AnswerHead) -> bool:
        """Say whether the server states that it did not run the request."""
        return head.status == _OTHER_SERVER or head.find(_NOT_RUN) is not None

    def is_other_server(self, head: AnswerHead) -> bool:
        """Say whether the address belongs to another server by now."""
        return head.status == _OTHER_SERVER

    def answers(self, head: AnswerHead, request: ForwardRequest) -> bool:
        """Say whether an answer belongs to a request."""
        echoed = head.find(_REQUEST_ID)
        return echoed == request.request_id.encode('latin-1')

    def encode_health_check(self, path: str, address: Address) -> bytes:
        """Return the bytes of a health check."""
        return f'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'.encode()

    def server(self, head: AnswerHead) -> str:
        """Return the name of the server that answered a health check."""
        return (head.find(_ANSWERING) or b'').decode('latin-1')

    def load(self, head: AnswerHead) -> ReportedLoad | None:
        """Return the load that came with an answer."""
        parts = (head.find(_LOAD) or b'').split(b',')
        try:
            running, waiting, slots = (int(part) for part in parts)
        except ValueError:
            return None
        return ReportedLoad(running, waiting, slots)


def _text_by_name(headers: tuple[Header, ...]) -> dict[bytes, bytes]:
    return {header.name: header.text for header in headers}


def _invalid(name: bytes) -> BronzesillError:
    return BronzesillError(
        ResultCode.FIELD_INVALID, f'not run: {name.decode()} is not usable'
    )


def _number(text_by_name: dict[bytes, bytes], name: bytes) -> int | None:
    text = text_by_name.get(name)
    if text is None:
        return None
    if not text.isdigit():
        raise _invalid(name)
    return int(text)


def _usage(text: bytes) -> tuple[int, int]:
    prompt, _, output = text.partition(b',')
    if not prompt.isdigit() or not output.isdigit():
        return 0, 0
    return int(prompt), int(output)


def _key(text: bytes) -> str:
    if not text.lower().startswith(_BEARER):
        return ''
    return text[len(_BEARER) :].strip().decode('latin-1')


def _named_by_connection(headers: tuple[Header, ...]) -> frozenset[bytes]:
    names: set[bytes] = set()
    for header in headers:
        if header.name == b'connection':
            names.update(
                part.strip().lower() for part in header.text.split(b',')
            )
    # Nobody may have the headers taken away that say whose request it is.
    return frozenset(names - {_REQUEST_ID, b'host'})
