"""Messages between daemons of the native interface, and their dispatch."""

import asyncio
import types
from collections.abc import Mapping
from typing import Any

from ..calls.ledger import ClaimAnswer
from ..calls.ledger_client import Ledger
from ..calls.ledger_messages import (
    ClaimCall,
    RecordCall,
    RecordReply,
    ReleaseCall,
)
from ..config.messages import ConfigAnswer, FetchConfig
from ..generations import LocationTable
from ..generations.location_messages import (
    ClaimLocation,
    FindLocation,
    LocationAnswer,
    TakeOverLocation,
)
from ..generations.peer_directory import handle_location_query
from ..limits.quota import QuotaRequest, QuotaResponse
from ..limits.quota_controller import QuotaController
from ..membership import FetchView, MembershipController
from ..moves import FetchMoveTotals, MoveReport, MovesController
from ..utils import ResultCode
from ..wire import MessageRegistry
from .config_controller import ConfigController
from .peer_messages import Refusal, make_registry

__all__ = ['Dispatcher', 'make_native_registry']

_NATIVE_TYPES_BY_NUMBER: Mapping[int, type] = types.MappingProxyType(
    {
        20: FetchConfig,
        21: ConfigAnswer,
        30: ClaimLocation,
        31: TakeOverLocation,
        32: FindLocation,
        33: LocationAnswer,
        40: ClaimCall,
        41: ClaimAnswer,
        42: RecordCall,
        43: ReleaseCall,
        44: RecordReply,
        45: QuotaRequest,
        46: QuotaResponse,
    }
)


def make_native_registry() -> MessageRegistry:
    """Return the registry of all messages of the native interface."""
    return make_registry(_NATIVE_TYPES_BY_NUMBER)


class Dispatcher:
    """
    Dispatches requests of peers to the components that answer them.

    :param membership: answers requests for the view of the fleet.
    :param config_controller: answers requests for the configuration.
    :param locations: location records of generations stored here.
    :param ledger: answers requests about at-most-once calls.
    :param moves: receives reports about traffic moves.
    :param quotas: distributes quotas of client accounts.
    """

    def __init__(
        self,
        membership: MembershipController,
        config_controller: ConfigController,
        locations: LocationTable,
        ledger: Ledger,
        moves: MovesController,
        quotas: QuotaController,
    ) -> None:
        self._membership = membership
        self._config_controller = config_controller
        self._locations = locations
        self._ledger = ledger
        self._moves = moves
        self._quotas = quotas

    async def handle(self, request: Any) -> Any:
        """
        Return the reply to one request.

        The reply to an unsupported request is a `Refusal`.
        """
        match request:
            case FetchView():
                return self._membership.handle_fetch_view(request)
            case FetchConfig():
                return self._config_controller.answer_fetch(request)
            case ClaimLocation() | TakeOverLocation() | FindLocation():
                now_s = asyncio.get_running_loop().time()
                return handle_location_query(self._locations, request, now_s)
            case ClaimCall() | RecordCall() | ReleaseCall():
                return await self._ledger.answer(request)
            case _:
                return self._answer_coordination(request)

    def _answer_coordination(self, request: Any) -> Any:
        match request:
            case MoveReport():
                return self._moves.answer_report(request)
            case FetchMoveTotals():
                return self._moves.answer_totals(request)
            case QuotaRequest():
                return self._quotas.answer(request)
            case _:
                return Refusal(int(ResultCode.MESSAGE_INVALID))
