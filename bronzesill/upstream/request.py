"""A request that is passed on as it came, and how it is sent."""

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
    'MemoryCopy',
    'ReportedLoad',
    'SendPlan',
]


@dataclasses.dataclass(frozen=True)
class CallerFields:
    """
    What a caller says in the headers of a request.

    :param request_id: name of the request, empty if it has none.
    :param patience_s: seconds that the caller waits, none if not told.
    :param events_held: events of the answer that the caller has already.
    :param prompt_tokens: tokens of the prompt, 0 if not told.
    :param max_output_tokens: longest answer in tokens, 0 if not told.
    :param key: key of the client account, empty if there is none.
    """

    request_id: str = ''
    patience_s: float | None = None
    events_held: int = 0
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    key: str = ''


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """
    A request on its way to a backend server.

    :param request_id: name of the request, as the caller gave it.
    :param method: HTTP method.
    :param target: path and query, byte for byte.
    :param headers: headers to pass on, in their order.
    :param body: bytes of the body.
    :param account: client account, empty if the route needs none.
    :param deadline_at_s: loop time at which nobody waits any more.
    :param caller: what the caller said.
    """

    request_id: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    account: str
    deadline_at_s: float
    caller: CallerFields = dataclasses.field(default_factory=CallerFields)


@dataclasses.dataclass(frozen=True)
class MemoryCopy:
    """
    A copy of a run's memory at another backend server.

    :param holder: address of the server that keeps it.
    :param run_id: name of the run it belongs to.
    """

    holder: Address
    run_id: str


@dataclasses.dataclass(frozen=True)
class SendPlan:
    """
    How a request is sent to one backend server.

    :param server: name of the server that has to answer.
    :param left_s: seconds that remain.
    :param events_held: events after which its answer has to go on.
    :param priority: urgency, 0 first and 9 last, none for the usual one.
    :param copy_to: server that keeps a copy of the run's memory.
    :param copy_from: copy to go on from.
    """

    server: str
    left_s: float
    events_held: int = 0
    priority: int | None = None
    copy_to: Address | None = None
    copy_from: MemoryCopy | None = None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """
    Load that a backend server told with an answer.

    :param running: requests that run.
    :param waiting: requests that wait.
    :param slots: requests that may run at once.
    """

    running: int
    waiting: int
    slots: int


class HealthDialect(Protocol):
    """Words of a health check on one platform."""

    def encode_health_check(self, path: str, address: Address) -> bytes:
        """Return the bytes of a health check."""

    def server(self, head: AnswerHead) -> str:
        """Return the name of the server that answered a health check."""


class Dialect(Protocol):
    """Names and formats of a request's headers on one platform."""

    def request_id(self, headers: tuple[Header, ...]) -> str:
        """Return the name of a request, for the log; empty if it has none."""

    def read_caller(self, headers: tuple[Header, ...]) -> CallerFields:
        """
        Read what a caller says.

        :raises BronzesillError: ``FIELD_INVALID``, a header is not usable.
        """

    def kept_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return the headers that are passed on to a backend server."""

    def kept_answer_headers(self, head: AnswerHead) -> tuple[Header, ...]:
        """Return the headers that are passed on to the caller."""

    def encode(self, request: ForwardRequest, plan: SendPlan) -> bytes:
        """Return the bytes of a request to a backend server."""

    def is_not_run(self, head: AnswerHead) -> bool:
        """Say whether the server states that it did not run the request."""

    def is_other_server(self, head: AnswerHead) -> bool:
        """Say whether the address belongs to another server by now."""

    def answers(self, head: AnswerHead, request: ForwardRequest) -> bool:
        """Say whether an answer belongs to a request."""

    def load(self, head: AnswerHead) -> ReportedLoad | None:
        """Return the load that came with an answer."""
