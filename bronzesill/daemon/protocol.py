"""Registry of the messages between daemons, and dispatch of requests."""

import asyncio
import dataclasses
from typing import Any

from ..calls import (
    ClaimAnswer,
    ClaimCall,
    Ledger,
    RecordCall,
    RecordReply,
    ReleaseCall,
)
from ..config import ConfigAnswer, FetchConfig
from ..generations import (
    ClaimLocation,
    FindLocation,
    LocationAnswer,
    LocationTable,
    TakeOverLocation,
    handle_location_query,
)
from ..limits import QuotaController, QuotaRequest, QuotaResponse
from ..membership import (
    Ack,
    BucketHashes,
    Entries,
    FetchView,
    GossipUpdates,
    MembershipController,
    Ping,
    PingRequest,
    View,
)
from ..moves import MoveReport, MoveReportReply, MovesController
from ..replica import FetchReplica, ReplicaAnswer
from ..routing import UseReport
from ..utils import ResultCode
from ..wire import MessageRegistry
from .config_controller import ConfigController

__all__ = ['Dispatcher', 'Refusal', 'make_registry']


@dataclasses.dataclass(frozen=True)
class Refusal:
    """
    Reply to a request that this daemon does not support.

    :param code: numbered result code.
    """

    code: int


def make_registry() -> MessageRegistry:
    """Return the registry of type numbers; numbers are never reused."""
    return MessageRegistry(
        {
            1: Ping,
            2: Ack,
            3: PingRequest,
            4: BucketHashes,
            5: Entries,
            6: GossipUpdates,
            7: FetchView,
            8: View,
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
            50: MoveReport,
            51: MoveReportReply,
            60: UseReport,
            61: FetchReplica,
            62: ReplicaAnswer,
            99: Refusal,
        }
    )


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
            case QuotaRequest():
                return self._quotas.answer(request)
            case _:
                return Refusal(int(ResultCode.MESSAGE_INVALID))
