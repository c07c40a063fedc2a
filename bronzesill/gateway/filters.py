"""Request filters: identification, routing, authentication and body."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import uuid
from collections.abc import Callable

import orjson
from falcon import asgi

from ..upstream import AnswerMemory, Dialect, Header
from ..utils import BronzesillError, ResultCode, hash_secret
from .disconnect import call_at_end, read_body
from .exchange import Exchange

__all__ = [
    'AssignRequestId',
    'Authenticate',
    'FindRoute',
    'ParseJson',
    'ReadBody',
    'ReadCallerFields',
    'raw_headers',
]

_REQUEST_ID_HEADER = 'X-Request-Id'
_REQUEST_ID_PATTERN = re.compile(r'[\w.:\-]{1,128}')
_BEARER = 'Bearer '
#: Another host may have room at once; on this one a request has to end first.
_MEMORY_RETRY_AFTER_S = 0.5


class AssignRequestId:
    """Take the request id from ``X-Request-Id``, or generate one."""

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the request id.

        :raises BronzesillError: ``FIELD_INVALID``, the caller's id is not
            valid.
        """
        caller_request_id = exchange.http.get_header(_REQUEST_ID_HEADER)
        if caller_request_id is None:
            return dataclasses.replace(exchange, request_id=uuid.uuid4().hex)
        if _REQUEST_ID_PATTERN.fullmatch(caller_request_id) is None:
            raise BronzesillError(
                ResultCode.FIELD_INVALID,
                f'not run: {_REQUEST_ID_HEADER} must have 1 to 128 characters '
                'of A-Z a-z 0-9 _ . : -',
            )
        return dataclasses.replace(
            exchange, request_id=caller_request_id, has_caller_request_id=True
        )


class ReadCallerFields:
    """
    Read the caller's header fields of a forwarded request.

    :param dialect: header names and formats of the platform.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the request id and the caller's other fields.

        :raises BronzesillError: ``FIELD_INVALID``, a header is not valid.
        """
        caller = self._dialect.parse_caller_fields(raw_headers(exchange.http))
        return dataclasses.replace(
            exchange, request_id=caller.request_id, caller=caller
        )


class FindRoute:
    """Match the ``Host`` header, without its port, and the path to a route."""

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the name of the route.

        :raises BronzesillError: ``ROUTE_UNKNOWN``, no route matches.
        """
        host = exchange.http.get_header('Host') or ''
        name = exchange.document.find_route(
            host.partition(':')[0], exchange.http.path
        )
        if name is None:
            raise BronzesillError(
                ResultCode.ROUTE_UNKNOWN,
                f'not run: no route for {exchange.http.path}',
            )
        return dataclasses.replace(exchange, route_name=name)


class Authenticate:
    """
    Find the client account by its key; only hashes of keys are stored.

    Requests on public routes, and all requests while no accounts are
    configured, pass without an account.
    """

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the client account.

        :raises BronzesillError: ``KEY_REJECTED``, no account has the key.
        """
        route = exchange.route
        is_public = route is not None and route.is_public
        if is_public or not exchange.document.has_accounts:
            return exchange
        header = exchange.http.get_header('Authorization') or ''
        digest = hash_secret(header.removeprefix(_BEARER))
        account = exchange.document.account_by_key.get(digest)
        if account is None:
            raise BronzesillError(
                ResultCode.KEY_REJECTED, 'not run: unknown API key'
            )
        return dataclasses.replace(exchange, account=account)


class ReadBody:
    """
    Read the request body within the configured size and time limits.

    :param memory: memory for bodies, which are held until the answer ends;
        ``None`` to count none.
    """

    def __init__(self, memory: AnswerMemory | None = None) -> None:
        self._memory = memory

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the body.

        :raises BronzesillError: ``BODY_TOO_LARGE``, ``BODY_TOO_SLOW``,
            ``MEMORY_SHORT`` or ``CALLER_LEFT``.
        """
        limits = exchange.document.limits
        declared = exchange.http.content_length or 0
        if declared > limits.max_body_bytes:
            raise _body_too_large(limits.max_body_bytes)
        on_size = self._hold(exchange.http, declared)
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                body = await read_body(
                    exchange.http, limits.max_body_bytes, on_size
                )
        except TimeoutError:
            raise BronzesillError(
                ResultCode.BODY_TOO_SLOW,
                f'not run: body not received within {limits.body_timeout_s} s',
            ) from None
        return dataclasses.replace(exchange, body=body)

    def _hold(
        self, http: asgi.Request, declared: int
    ) -> Callable[[int], object] | None:
        if self._memory is None:
            return None
        upload = _HeldUpload(self._memory)
        call_at_end(http, upload.forget)
        # A body without a stated length counts as it arrives.
        upload.grow(declared)
        return upload.grow


class _HeldUpload:
    """
    Bytes of one request that count as held.

    :param memory: memory for bodies.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._size = 0

    def grow(self, size: int) -> None:
        """
        Count the bytes up to a size.

        :raises BronzesillError: ``MEMORY_SHORT``.
        """
        more = size - self._size
        if more <= 0:
            return
        if not self._memory.try_hold_upload(more, self._size):
            raise BronzesillError(
                ResultCode.MEMORY_SHORT,
                f'not run: {self._memory.held_bytes} of '
                f'{self._memory.max_bytes} bytes are held',
                retry_after_s=_MEMORY_RETRY_AFTER_S,
            )
        self._size += more

    def forget(self) -> None:
        """Count nothing any more."""
        self._memory.forget_upload(self._size)
        self._size = 0


class ParseJson:
    """Parse the body as a JSON object."""

    async def apply(self, exchange: Exchange) -> Exchange:
        """
        Add the fields of the body.

        :raises BronzesillError: ``MALFORMED_BODY``, the body is not a JSON
            object.
        """
        try:
            fields = orjson.loads(exchange.body)
        except orjson.JSONDecodeError as error:
            raise BronzesillError(
                ResultCode.MALFORMED_BODY, f'not run: invalid JSON: {error}'
            ) from error
        if not isinstance(fields, dict):
            raise BronzesillError(
                ResultCode.MALFORMED_BODY, 'not run: expected a JSON object'
            )
        return dataclasses.replace(exchange, fields=fields)


def raw_headers(http: asgi.Request) -> tuple[Header, ...]:
    """Return the headers of a request, undecoded and in original order."""
    return tuple(Header(name, text) for name, text in http.scope['headers'])


def _body_too_large(max_bytes: int) -> BronzesillError:
    return BronzesillError(
        ResultCode.BODY_TOO_LARGE,
        f'not run: request body exceeds {max_bytes} bytes',
    )
