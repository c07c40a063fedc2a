"""Encoding and decoding of the platform's request and answer headers."""

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
from ..utils import (
    MAX_INTEGER,
    Address,
    BronzesillError,
    ResultCode,
    parse_integer,
)

__all__ = ['PlatformDialect']

_MS_PER_S = 1000
_MISDIRECTED_REQUEST = 421
_UNAVAILABLE = 503

_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,256}')
_DECIMAL_PATTERN = re.compile(rb'\d{1,9}(\.\d{0,9})?')
_BEARER = b'bearer '

#: More tokens than any server has memory for.
_MAX_TOKENS = 2**31
#: Further parts of a prompt are forwarded, but not considered here.
_MAX_SHARED_PARTS = 256
#: Numbers in the load of any server, and the highest of them.
_LOAD_FIELDS = 3
_MAX_LOAD = 1_000_000
#: Value of the fourth number while work takes as long as usual.
_USUAL_SLOWDOWN = 100
#: Slowdowns outside of this range are taken for its nearest end.
_MIN_SLOWDOWN = 0.1
_MAX_SLOWDOWN = 20.0

#: Identifies the request; clients send a new identifier with each attempt.
_REQUEST_ID = b'x-attempt-id'
_DEADLINE_MS = b'x-deadline-ms'
_LAST_EVENT_ID = b'last-event-id'
_TOKEN_USAGE = b'x-token-usage'
_PROMPT_PARTS = b'x-prefix-hash'
_AUTHORIZATION = b'authorization'
_TENANT = b'x-tenant'
_TARGET_INSTANCE = b'x-target-instance'
_REQUEST_PRIORITY = b'x-request-priority'
_COPY_TO = b'x-kv-backup'
_COPY_FROM = b'kv-from'
_NOT_EXECUTED = b'x-not-executed'
_INSTANCE_ID = b'x-instance-id'
_INSTANCE_LOAD = b'x-instance-load'
_SERVER_LIMIT = b'server-limit'
_SERVER_BRITTLE = b'server-brittle'
_SERVER_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
#: A server that asks for a longer pause is tried again after this one.
_MAX_RETRY_AFTER_S = 3600.0

#: Headers that apply to a single connection and are never forwarded.
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

#: Request headers reserved for the system: values sent by callers are dropped.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE_MS,
        _AUTHORIZATION,
        _TENANT,
        _TARGET_INSTANCE,
        _REQUEST_PRIORITY,
        _COPY_TO,
        _COPY_FROM,
        _LAST_EVENT_ID,
        b'x-cache-retention',
        b'x-pin-ms',
        b'kv-fetch',
        b'x-expected-version',
    )
)


class PlatformDialect:
    """Encoder and decoder of the platform's headers."""

    def request_id(self, headers: tuple[Header, ...]) -> str:
        """
        Return the identifier of a request for log lines.

        The identifier is not validated; it is empty if the header is missing.
        """
        return _text_by_name(headers).get(_REQUEST_ID, b'').decode('latin-1')

    def parse_caller_fields(self, headers: tuple[Header, ...]) -> CallerFields:
        """
        Decode the headers that a caller may set.

        Missing headers give the defaults of :class:`CallerFields`.

        :raises BronzesillError: ``FIELD_INVALID`` if the request identifier
            or a numeric header is malformed.
        """
        text_by_name = _text_by_name(headers)
        request_id = self.request_id(headers)
        if request_id and _ID_PATTERN.fullmatch(request_id) is None:
            raise _invalid_header(_REQUEST_ID)
        deadline_ms = _parse_deadline_ms(text_by_name)
        prompt_tokens, output_tokens = _parse_token_usage(
            text_by_name.get(_TOKEN_USAGE, b'')
        )
        parts = _parse_prompt_parts(text_by_name.get(_PROMPT_PARTS, b''))
        return CallerFields(
            request_id=request_id,
            timeout_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
            events_received=_parse_events_received(text_by_name),
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            key=_parse_bearer_key(text_by_name.get(_AUTHORIZATION, b'')),
            own_prompt_part=parts[-1],
            shared_prompt_parts=parts[:-1],
        )

    def forwarded_request_headers(
        self, headers: tuple[Header, ...]
    ) -> tuple[Header, ...]:
        """
        Return the request headers to forward to a backend server.

        Hop-by-hop headers and headers reserved for the system are left out.
        """
        dropped = (
            _HOP_BY_HOP | _SYSTEM_HEADERS | _parse_connection_options(headers)
        )
        return tuple(header for header in headers if header.name not in dropped)

    def forwarded_answer_headers(self, head: AnswerHead) -> tuple[Header, ...]:
        """
        Return the answer headers to forward to the caller.

        Hop-by-hop headers are left out.
        """
        dropped = _HOP_BY_HOP | _parse_connection_options(head.headers)
        return tuple(
            header for header in head.headers if header.name not in dropped
        )

    def encode(self, request: ForwardRequest, plan: SendPlan) -> bytes:
        """
        Encode a request to a backend server as HTTP/1.1.

        The time limit is sent in milliseconds and is at least 1.
        """
        system_headers = {
            _DEADLINE_MS: str(max(int(plan.remaining_s * _MS_PER_S), 1)),
            _TARGET_INSTANCE: plan.server,
        }
        if request.account:
            system_headers[_TENANT] = request.account
        if plan.events_received:
            system_headers[_LAST_EVENT_ID] = str(plan.events_received)
        if plan.priority is not None:
            system_headers[_REQUEST_PRIORITY] = str(plan.priority)
        if plan.copy_to is not None:
            system_headers[_COPY_TO] = str(plan.copy_to)
        if plan.copy_from is not None:
            copy = plan.copy_from
            system_headers[_COPY_FROM] = f'{copy.holder}/{copy.run_id}'
        lines = [b'%b %b HTTP/1.1' % (request.method.encode(), request.target)]
        lines.extend(
            b'%b: %b' % (header.name, header.text) for header in request.headers
        )
        lines.extend(
            b'%b: %b' % (name, text.encode('latin-1'))
            for name, text in system_headers.items()
        )
        if request.body or request.method not in {'GET', 'HEAD'}:
            lines.append(b'content-length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', request.body))

    def is_not_executed(self, head: AnswerHead) -> bool:
        """
        Return whether the server states that it did not run the request.

        It does so with status 421 or the header ``x-not-executed``.
        """
        return (
            head.status == _MISDIRECTED_REQUEST
            or head.find(_NOT_EXECUTED) is not None
        )

    def is_misdirected(self, head: AnswerHead) -> bool:
        """
        Return whether the address now belongs to another server.

        A server states this with status 421.
        """
        return head.status == _MISDIRECTED_REQUEST

    def is_answer_to(self, head: AnswerHead, request: ForwardRequest) -> bool:
        """
        Return whether an answer belongs to a request.

        The server echoes the request identifier; an answer without it, or
        with several, is not accepted.
        """
        echoed = {
            header.text for header in head.headers if header.name == _REQUEST_ID
        }
        return echoed == {request.request_id.encode('latin-1')}

    def encode_health_check(self, path: str, address: Address) -> bytes:
        """Encode a health check as an HTTP/1.1 request."""
        return f'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'.encode()

    def server(self, head: AnswerHead) -> str:
        """
        Return the name of the server that answered a health check.

        The name is empty if the answer does not contain a valid one.
        """
        name = (head.find(_INSTANCE_ID) or b'').decode('latin-1')
        return name if _ID_PATTERN.fullmatch(name) else ''

    def load(self, head: AnswerHead) -> ReportedLoad | None:
        """
        Return the load reported in an answer.

        Three numbers are required.  Some servers add the slowdown of their
        machine; a malformed one, and further numbers, are ignored.

        :returns: the load, none if the header is missing or malformed.
        """
        parts = (head.find(_INSTANCE_LOAD) or b'').split(b',')
        required, further = parts[:_LOAD_FIELDS], parts[_LOAD_FIELDS:]
        numbers = [
            parse_integer(part.strip(), highest=_MAX_LOAD) for part in required
        ]
        if len(numbers) != _LOAD_FIELDS or None in numbers:
            return None
        running, waiting, slots = (number or 0 for number in numbers)
        slowdown = _parse_slowdown(further[0]) if further else None
        return ReportedLoad(running, waiting, slots, slowdown)

    def request_limit(self, head: AnswerHead) -> float | None:
        """
        Return the requests per second that a server takes from all hosts.

        :returns: the limit, none if the header is missing or malformed.
        """
        return _parse_decimal(head, _SERVER_LIMIT)

    def rejection_limit(self, head: AnswerHead) -> float | None:
        """
        Return the rejections in a second that a server survives.

        :returns: the limit, none if the header is missing or malformed.
        """
        return _parse_decimal(head, _SERVER_BRITTLE)

    def is_leaving(self, head: AnswerHead) -> bool:
        """Return whether a server says that it leaves."""
        return head.find(_SERVER_LEAVING) == b'1'

    def retry_after_s(self, head: AnswerHead) -> float | None:
        """
        Return the seconds for which a server that refuses wants no request.

        :returns: the seconds, at most an hour; none if the answer is no
            refusal, or does not say it as a decimal number.
        """
        if head.status != _UNAVAILABLE:
            return None
        pause_s = _parse_decimal(head, _RETRY_AFTER)
        return None if pause_s is None else min(pause_s, _MAX_RETRY_AFTER_S)


def _text_by_name(headers: tuple[Header, ...]) -> dict[bytes, bytes]:
    return {header.name: header.text for header in headers}


def _invalid_header(name: bytes) -> BronzesillError:
    return BronzesillError(
        ResultCode.FIELD_INVALID,
        f'not run: the value of header {name.decode()} is malformed',
    )


def _parse_deadline_ms(text_by_name: dict[bytes, bytes]) -> int | None:
    text = text_by_name.get(_DEADLINE_MS)
    if text is None:
        return None
    if not text.isdigit():
        raise _invalid_header(_DEADLINE_MS)
    # The timeout of the route bounds it anyway.
    deadline_ms = parse_integer(text)
    return MAX_INTEGER if deadline_ms is None else deadline_ms


def _parse_events_received(text_by_name: dict[bytes, bytes]) -> int:
    text = text_by_name.get(_LAST_EVENT_ID)
    if text is None:
        return 0
    events = parse_integer(text)
    if events is None:
        raise _invalid_header(_LAST_EVENT_ID)
    return events


def _parse_decimal(head: AnswerHead, name: bytes) -> float | None:
    text = head.find(name) or b''
    if _DECIMAL_PATTERN.fullmatch(text) is None:
        return None
    return float(text)


def _parse_slowdown(text: bytes) -> float | None:
    number = parse_integer(text.strip(), highest=_MAX_LOAD)
    if not number:
        return None
    return min(max(number / _USUAL_SLOWDOWN, _MIN_SLOWDOWN), _MAX_SLOWDOWN)


def _parse_token_usage(text: bytes) -> tuple[int, int]:
    prompt, _, output = text.partition(b',')
    if not prompt.isdigit() or not output.isdigit():
        return 0, 0
    return _parse_tokens(prompt), _parse_tokens(output)


def _parse_tokens(digits: bytes) -> int:
    # Hosts tell each other of the sum over their requests.
    tokens = parse_integer(digits, highest=_MAX_TOKENS)
    return _MAX_TOKENS if tokens is None else tokens


def _parse_prompt_parts(text: bytes) -> tuple[str, ...]:
    # The header lists ID:TOKENS; the last part belongs to the request itself.
    # Without the header, the request has one part with an empty id.
    *shared, own = text.split(b',')
    return tuple(
        part.strip().partition(b':')[0].decode('latin-1')
        for part in (*shared[:_MAX_SHARED_PARTS], own)
    )


def _parse_bearer_key(text: bytes) -> str:
    if not text.lower().startswith(_BEARER):
        return ''
    return text[len(_BEARER) :].strip().decode('latin-1')


def _parse_connection_options(headers: tuple[Header, ...]) -> frozenset[bytes]:
    names: set[bytes] = set()
    for header in headers:
        if header.name == b'connection':
            names.update(
                part.strip().lower() for part in header.text.split(b',')
            )
    # A caller must not be able to remove the headers that identify a request
    # by listing them as connection options.
    return frozenset(names - {_REQUEST_ID, b'host'})
