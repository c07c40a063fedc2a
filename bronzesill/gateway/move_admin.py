"""Falcon resource for moves of traffic between versions."""

from __future__ import annotations

import dataclasses
import re
import time
from collections.abc import Callable
from typing import Any

import orjson
from falcon import asgi

from ..config import Document
from ..moves import MoveRecord, MovesController, MoveState
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    ResultCode,
    structure,
    unstructure,
)
from .operators import authenticate_operator
from .state import GatewayState

__all__ = ['MoveAdminResource']

_MIN_WINDOW_S = 30.0
_NAME = re.compile(r'[\w.\-]{1,64}')
_STATES_BY_ACTION = (
    ('pause', MoveState.PAUSED),
    ('go-on', MoveState.RUNNING),
    ('finish', MoveState.DONE),
    ('take-back', MoveState.ROLLED_BACK),
)


@dataclasses.dataclass(frozen=True)
class _MoveRequest:
    move_id: str
    subject: str
    old_version: str
    new_version: str
    deadline_in_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class _StateChange:
    reason: str


class MoveAdminResource:
    """
    ``/admin/moves`` paths of one daemon.

    :param state: configuration in force.
    :param moves: creates and changes moves.
    :param find_version: returns the version that serves a subject, empty if
        there is none.
    """

    def __init__(
        self,
        state: GatewayState,
        moves: MovesController,
        find_version: Callable[[str], str],
    ) -> None:
        self._state = state
        self._moves = moves
        self._find_version = find_version

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the routes of this resource to an application."""
        app.add_route('/admin/moves', self)
        app.add_route('/admin/moves/{move_id}/{action}', self, suffix='action')

    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the records of all moves."""
        records = await self._moves.list_records()
        response.media = {'moves': [unstructure(record) for record in records]}

    async def on_post(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Create a move and return its record.

        :raises BronzesillError: the operator is rejected, or the move is not
            valid.
        """
        operator = authenticate_operator(request, self._state.document)
        requested = await _read_body(request, _MoveRequest)
        self._validate(requested)
        now_s = time.time()
        record = MoveRecord(
            move_id=requested.move_id,
            subject=requested.subject,
            old_version=requested.old_version,
            new_version=requested.new_version,
            created_at_s=now_s,
            deadline_at_s=now_s + requested.deadline_in_s,
            operator=operator,
            reason=requested.reason,
            changed_at_s=now_s,
            changed_by=operator,
        )
        response.media = unstructure(await self._moves.create(record))

    async def on_post_action(
        self,
        request: asgi.Request,
        response: asgi.Response,
        move_id: str,
        action: str,
    ) -> None:
        """
        Pause, resume, finish or roll back a move.

        :raises BronzesillError: the operator is rejected, or the action does
            not exist or is not possible.
        """
        operator = authenticate_operator(request, self._state.document)
        change = await _read_body(request, _StateChange)
        record = await self._moves.change(
            move_id, _state_of(action), operator, change.reason
        )
        if record is None:
            response.media = {'move_id': move_id, 'state': 'taken_back'}
        else:
            response.media = unstructure(record)

    def _validate(self, requested: _MoveRequest) -> None:
        error_text = self._find_error(requested)
        if error_text:
            raise _invalid(error_text)

    def _find_error(self, requested: _MoveRequest) -> str:
        document = self._state.document
        if document is None:
            return 'no configuration yet'
        if not _NAME.fullmatch(requested.move_id):
            return 'a name must have 1 to 64 characters of A-Z a-z 0-9 _ . -'
        current_version = self._find_version(requested.subject)
        if not current_version or current_version != requested.old_version:
            version_text = current_version or 'any'
            return f'{requested.subject} is served by version {version_text}'
        if not _has_servers(document, requested):
            return (
                f'no server of {requested.subject} runs {requested.new_version}'
            )
        if requested.deadline_in_s < _MIN_WINDOW_S:
            return f'the deadline of a move must be at least {_MIN_WINDOW_S} s'
        return ''


def _has_servers(document: Document, requested: _MoveRequest) -> bool:
    return any(
        server.version == requested.new_version
        and requested.subject in {server.model, server.service}
        for server in document.servers.values()
    )


def _state_of(action: str) -> MoveState:
    for name, state in _STATES_BY_ACTION:
        if name == action:
            return state
    raise _invalid(f'unknown action {action!r}')


async def _read_body(request: asgi.Request, expected_type: type[Any]) -> Any:
    try:
        return structure(
            orjson.loads(await request.stream.read()), expected_type
        )
    except (orjson.JSONDecodeError, DocumentInvalid) as error:
        raise _invalid(str(error)) from error


def _invalid(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.FIELD_INVALID, detail)
