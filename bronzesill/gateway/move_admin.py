"""Falcon resources for moves of traffic."""

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
    ('take-back', MoveState.TAKEN_BACK),
)


@dataclasses.dataclass(frozen=True)
class _NewMove:
    move_id: str
    subject: str
    old_version: str
    new_version: str
    deadline_in_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class _Change:
    reason: str


class MoveAdminResource:
    """
    ``/admin/moves`` paths of one daemon.

    :param state: configuration in force.
    :param moves: controller of moves.
    :param find_version: version that serves a subject now.
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
        """Add the paths to an application."""
        app.add_route('/admin/moves', self)
        app.add_route('/admin/moves/{move_id}/{action}', self, suffix='action')

    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List all moves."""
        records = await self._moves.list_records()
        response.media = {'moves': [unstructure(found) for found in records]}

    async def on_post(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Create a move."""
        operator = authenticate_operator(request, self._state.document)
        wanted = await _read(request, _NewMove)
        self._check(wanted)
        now_s = time.time()
        record = MoveRecord(
            move_id=wanted.move_id,
            subject=wanted.subject,
            old_version=wanted.old_version,
            new_version=wanted.new_version,
            created_at_s=now_s,
            deadline_at_s=now_s + wanted.deadline_in_s,
            operator=operator,
            reason=wanted.reason,
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
        """Pause a move, go on with it, finish it or take it back."""
        operator = authenticate_operator(request, self._state.document)
        change = await _read(request, _Change)
        record = await self._moves.change(
            move_id, _state_of(action), operator, change.reason
        )
        if record is None:
            response.media = {'move_id': move_id, 'state': 'taken_back'}
        else:
            response.media = unstructure(record)

    def _check(self, wanted: _NewMove) -> None:
        fault = self._find_fault(wanted)
        if fault:
            raise _invalid(fault)

    def _find_fault(self, wanted: _NewMove) -> str:
        document = self._state.document
        if document is None:
            return 'no configuration yet'
        if not _NAME.fullmatch(wanted.move_id):
            return 'a name takes A-Z a-z 0-9 _ . -'
        serving = self._find_version(wanted.subject)
        if not serving or serving != wanted.old_version:
            served_by = serving or 'any'
            return f'{wanted.subject} is served by version {served_by}'
        if not _has_servers(document, wanted):
            return f'no server of {wanted.subject} runs {wanted.new_version}'
        if wanted.deadline_in_s < _MIN_WINDOW_S:
            return f'a move takes {_MIN_WINDOW_S} s at the least'
        return ''


def _has_servers(document: Document, wanted: _NewMove) -> bool:
    return any(
        server.version == wanted.new_version
        and wanted.subject in {server.model, server.service}
        for server in document.servers.values()
    )


def _state_of(action: str) -> MoveState:
    for name, state in _STATES_BY_ACTION:
        if name == action:
            return state
    raise _invalid(f'no action {action!r}')


async def _read(request: asgi.Request, shape: type[Any]) -> Any:
    try:
        return structure(orjson.loads(await request.stream.read()), shape)
    except (orjson.JSONDecodeError, DocumentInvalid) as error:
        raise _invalid(str(error)) from error


def _invalid(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.FIELD_INVALID, detail)
