"""Forwarded requests, how they are sent, and the header dialect."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from ..utils import Address
from .answer import AnswerHead, Header

__all__ = [
    'CallerFields',
    'Dialect',
    'ForwardRequest',
    'HealthDialect',
    'KvCacheCopy',
    'ReportedLoad',
    'SendPlan',
]


@dataclasses.dataclass(frozen=True)
class CallerFields:
    """
    Fields that a caller states in the headers of a request.

    :param request_id: id of the request, empty if there is none.
    :param timeout_s: caller's timeout in seconds, ``None`` if not stated.
    :param events_received: number of events of the answer that the caller has
        already received.
    :param prompt_tokens: prompt length in tokens, 0 if not stated.
    :param max_output_tokens: maximum length of the answer in tokens, 0 if not
        stated.
    :param key: key of the client account, empty if there is none.
    :param own_prompt_part: id of the part of the prompt that only this
        request or its session contains, empty if not stated.
    :param shared_prompt_parts: ids of the parts of the prompt that other
        requests may contain too, in order.
    """

    request_id: str = ''
    timeout_s: float | None = None
    events_received: int = 0
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    key: str = ''
    own_prompt_part: str = ''
    shared_prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """
    Request to be forwarded to a backend server.

    :param request_id: id of the request, as given by the caller.
    :param method: HTTP method.
    :param target: path and query as received, not decoded.
    :param headers: headers to forward, in their original order.
    :param body: bytes of the body.
    :param account: client account, empty if the route needs none.
    :param deadline_at_s: loop time of the deadline.
    :param caller: fields that the caller stated in headers.
    :param priority: priority that the server is told, from 0 (highest) to 9;
        ``None`` for the default.
    :param priority_rank: rank of its priority in the service, 0 for the most
        urgent.
    """

    request_id: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    account: str
    deadline_at_s: float
    caller: CallerFields = dataclasses.field(default_factory=CallerFields)
    priority: int | None = None
    priority_rank: int = 0


@dataclasses.dataclass(frozen=True)
class KvCacheCopy:
    """
    Copy of a run's KV cache on another backend server.

    :param holder: address of the server that stores the copy.
    :param run_id: id of the run that the copy belongs to.
    """

    holder: Address
    run_id: str


@dataclasses.dataclass(frozen=True)
class SendPlan:
    """
    Parameters for sending a request to one backend server.

    :param server: name of the server that the request is for.
    :param remaining_s: seconds until the deadline.
    :param events_received: number of events after which the answer resumes.
    :param priority: priority from 0 (highest) to 9 (lowest), ``None`` for the
        default.
    :param copy_to: server that stores a copy of the run's KV cache.
    :param copy_from: KV cache copy from which the run resumes.
    """

    server: str
    remaining_s: float
    events_received: int = 0
    priority: int | None = None
    copy_to: Address | None = None
    copy_from: KvCacheCopy | None = None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """
    Load that a backend server reported in the head of an answer.

    :param running: number of running requests.
    :param waiting: number of queued requests.
    :param slots: maximum number of concurrent requests.
    :param slowdown: how many times as long as usual work takes on the server's
        machine at this moment, ``None`` if not told.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class HealthDialect(Protocol):
    """Encoding of health checks on one platform."""

    def encode_health_check(self, path: str, address: Address) -> bytes:
        """
        Return the serialized health check request.

        :param path: path of the health check.
        :param address: value of the ``Host`` header.
        """

    def server(self, head: AnswerHead) -> str:
        """Return the name of the answering server, empty if not stated."""


class Dialect(Protocol):
    """Names and formats of request and answer headers on one platform."""

    def request_id(self, headers: tuple[Header, ...]) -> str:
        """
        Return the id of a request for logging, empty if there is none.

        Unlike ``parse_caller_fields``, does not validate the headers.
        """

    def parse_caller_fields(self, headers: tuple[Header, ...]) -> CallerFields:
        """
        Parse the caller's fields from request headers.

        :raises BronzesillError: ``FIELD_INVALID``, a header is not valid.
        """

    def forwarded_request_headers(
        self, headers: tuple[Header, ...]
    ) -> tuple[Header, ...]:
        """Return the request headers to forward to a backend server."""

    def forwarded_answer_headers(self, head: AnswerHead) -> tuple[Header, ...]:
        """Return the answer headers to forward to the caller."""

    def encode(self, request: ForwardRequest, plan: SendPlan) -> bytes:
        """Return the serialized request to a backend server."""

    def is_not_executed(self, head: AnswerHead) -> bool:
        """Return whether the server states that it did not run the request."""

    def is_misdirected(self, head: AnswerHead) -> bool:
        """Return whether another server has taken over the address."""

    def is_answer_to(self, head: AnswerHead, request: ForwardRequest) -> bool:
        """Return whether an answer belongs to a request."""

    def load(self, head: AnswerHead) -> ReportedLoad | None:
        """Return the reported load, ``None`` if absent or unreadable."""

    def request_limit(self, head: AnswerHead) -> float | None:
        """
        Return the requests per second that the server takes from all hosts.

        ``None`` if it names no limit.
        """

    def rejection_limit(self, head: AnswerHead) -> float | None:
        """
        Return the rejections in a second that the server survives.

        ``None`` if it names none.
        """
