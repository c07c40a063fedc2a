"""Runs calls as their routes demand: repeated, or at most once."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Coroutine
from typing import Any

from ..utils import BronzesillError, PartLogger, ResultCode, stable_hash
from .idempotent import IdempotentCalls
from .interfaces import CallSender, RoutedCall
from .keys import issued_at_s
from .ledger import CallClaim, CallOutcome, ClaimAnswer, Verdict
from .ledger_client import Ledger
from .once import OnceCalls
from .pass_through import CallAnswer
from .servers import ServiceServers

__all__ = ['RouteRunner']

_MAX_BODY_KEPT_BYTES = 32_768
_RUNNING_POLL_S = 0.2
_RECORD_WAIT_S = 1.0
_MAX_CLOCK_SKEW_S = 120.0

_CODES_BY_VERDICT = (
    (Verdict.RUNNING, ResultCode.CALL_IN_PROGRESS, 'the call still runs'),
    (
        Verdict.UNKNOWN,
        ResultCode.CALL_OUTCOME_UNKNOWN,
        'outcome unknown: the call was begun and may have run',
    ),
    (
        Verdict.KEY_REUSED,
        ResultCode.CALL_KEY_REUSED,
        'not run: this key belongs to another call',
    ),
    (
        Verdict.KEY_EXPIRED,
        ResultCode.CALL_KEY_EXPIRED,
        'not run: the key is older than the window in which keys are kept',
    ),
    (
        Verdict.UNAVAILABLE,
        ResultCode.CALL_NOT_RUN,
        'not run: the ledger cannot be written now',
    ),
)

_log = PartLogger('calls')


class RouteRunner:
    """
    Runs calls to plain services.

    :param sender: sends a call to one server.
    :param servers: order of servers for a call.
    :param ledger: record of calls that must not be repeated.
    """

    def __init__(
        self,
        sender: CallSender,
        servers: ServiceServers,
        ledger: Ledger,
    ) -> None:
        self._ledger = ledger
        self._once = OnceCalls(sender, servers)
        self._idempotent = IdempotentCalls(sender, servers)
        self._helpers: set[asyncio.Task[object]] = set()

    async def run_call(self, routed: RoutedCall) -> CallAnswer:
        """
        Run a call as its route demands.

        :raises BronzesillError: the call was not run, failed, or has an
            unknown outcome.
        """
        if routed.route.idempotent:
            return await self._idempotent.run(routed)
        if not routed.key:
            return await self._once.run(routed)
        claim = _make_claim(routed)
        # In a task of its own: a caller that leaves does not end it between
        # the claim and the record.
        return await asyncio.shield(
            self._help(self._claim_and_run(routed, claim))
        )

    async def _claim_and_run(
        self, routed: RoutedCall, claim: CallClaim
    ) -> CallAnswer:
        started_s = time.monotonic()
        answer = await self._ledger.claim(claim)
        while answer.verdict == Verdict.RUNNING:
            if time.monotonic() - started_s > routed.route.deadline_s:
                break
            await asyncio.sleep(_RUNNING_POLL_S)
            answer = await self._ledger.claim(claim)
        if answer.verdict == Verdict.GRANTED:
            return await self._run_granted(routed, claim)
        if answer.verdict == Verdict.UNAVAILABLE:
            # Nobody will send this claim; tell so, should it be recorded.
            self._help(self._ledger.release(claim))
        return _replay(answer)

    async def _run_granted(
        self, routed: RoutedCall, claim: CallClaim
    ) -> CallAnswer:
        try:
            answer = await self._once.run(routed)
        except BronzesillError as error:
            if error.code is ResultCode.CALL_NOT_RUN:
                await self._ledger.release(claim)
            else:
                await self._ledger.record(claim, None)
            raise
        is_kept = len(answer.body) <= _MAX_BODY_KEPT_BYTES
        outcome = CallOutcome(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if is_kept else b'',
            is_body_kept=is_kept,
        )
        recording = self._help(self._record(claim, outcome))
        await asyncio.wait((recording,), timeout=_RECORD_WAIT_S)
        return answer

    async def _record(self, claim: CallClaim, outcome: CallOutcome) -> None:
        pause_s = _RUNNING_POLL_S
        ends_s = time.monotonic() + claim.deadline_s
        while not await self._ledger.record(claim, outcome):
            if time.monotonic() > ends_s:
                _log.warning('outcome of %s not recorded', claim.key)
                return
            await asyncio.sleep(pause_s)
            pause_s *= 2

    def _help(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        helper = asyncio.create_task(work)
        self._helpers.add(helper)
        helper.add_done_callback(self._forget)
        return helper

    def _forget(self, helper: asyncio.Task[Any]) -> None:
        self._helpers.discard(helper)
        if not helper.cancelled():
            # Seen here, for a caller that left does not see it.
            helper.exception()


def _make_claim(routed: RoutedCall) -> CallClaim:
    issued_s = issued_at_s(routed.key)
    if issued_s is None or issued_s > time.time() + _MAX_CLOCK_SKEW_S:
        raise BronzesillError(
            ResultCode.FIELD_INVALID,
            'not run: Idempotency-Key takes a UUID of version 7, or seconds '
            'since the epoch, a hyphen and a name',
        )
    call = routed.call
    body = call.body.decode(errors='replace')
    fingerprint = stable_hash(call.method, call.path, body) >> 1
    return CallClaim(
        key=f'{routed.account}/{routed.key}',
        claim_id=uuid.uuid4().hex,
        fingerprint=fingerprint,
        issued_at_s=issued_s,
        deadline_s=routed.route.deadline_s,
    )


def _replay(answer: ClaimAnswer) -> CallAnswer:
    outcome = answer.outcome
    if answer.verdict == Verdict.DONE and outcome is not None:
        return CallAnswer(
            outcome.status, outcome.content_type, outcome.body, is_replay=True
        )
    for verdict, code, message in _CODES_BY_VERDICT:
        if answer.verdict == verdict:
            raise BronzesillError(code, message)
    raise BronzesillError(ResultCode.CALL_OUTCOME_UNKNOWN, 'outcome unknown')
