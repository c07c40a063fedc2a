"""Runs calls according to their routes: idempotent or at most once."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Coroutine
from typing import Any

from ..utils import BronzesillError, PartLogger, ResultCode, stable_hash
from .at_most_once import AtMostOnceCalls
from .idempotent import IdempotentCalls
from .interfaces import CallAnswer, CallSender, RoutedCall
from .keys import MAX_CLOCK_SKEW_S, issued_at_s
from .ledger import CallClaim, CallOutcome, ClaimAnswer, ClaimVerdict
from .ledger_client import Ledger
from .servers import ServiceServers

__all__ = ['RouteRunner']

_MAX_STORED_BODY_BYTES = 32_768
_POLL_INTERVAL_S = 0.2
_MAX_RECORD_WAIT_S = 1.0

_ERRORS_BY_VERDICT = (
    (
        ClaimVerdict.RUNNING,
        ResultCode.CALL_IN_PROGRESS,
        'a call with this key is still running',
    ),
    (
        ClaimVerdict.UNKNOWN,
        ResultCode.CALL_OUTCOME_UNKNOWN,
        'outcome unknown: the call was started and may have run',
    ),
    (
        ClaimVerdict.KEY_REUSED,
        ResultCode.CALL_KEY_REUSED,
        'not run: the idempotency key was used for a different call',
    ),
    (
        ClaimVerdict.KEY_EXPIRED,
        ResultCode.CALL_KEY_EXPIRED,
        'not run: the idempotency key is older than the retention period',
    ),
    (
        ClaimVerdict.UNAVAILABLE,
        ResultCode.CALL_NOT_RUN,
        'not run: the ledger is not writable at present',
    ),
)

_log = PartLogger('calls')


class RouteRunner:
    """
    Runs calls to plain services.

    :param sender: sends a call to one server.
    :param servers: selects and orders the servers for a call.
    :param ledger: records at-most-once calls by idempotency key.
    """

    def __init__(
        self,
        sender: CallSender,
        servers: ServiceServers,
        ledger: Ledger,
    ) -> None:
        self._ledger = ledger
        self._at_most_once = AtMostOnceCalls(sender, servers)
        self._idempotent = IdempotentCalls(sender, servers)
        self._background_tasks: set[asyncio.Task[object]] = set()

    async def run_call(self, routed: RoutedCall) -> CallAnswer:
        """
        Run a call according to its route.

        :raises BronzesillError: the call was not run, failed, or its outcome
            is unknown.
        """
        if routed.route.idempotent:
            return await self._idempotent.run(routed)
        if not routed.key:
            return await self._at_most_once.run(routed)
        claim = _make_claim(routed)
        # Run in a separate task, so that a caller that disconnects cannot
        # cancel the call between its claim and its record.
        return await asyncio.shield(
            self._start_task(self._claim_and_run(routed, claim))
        )

    async def _claim_and_run(
        self, routed: RoutedCall, claim: CallClaim
    ) -> CallAnswer:
        started_s = time.monotonic()
        answer = await self._ledger.claim(claim)
        while answer.verdict == ClaimVerdict.RUNNING:
            if time.monotonic() - started_s > routed.route.deadline_s:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
            answer = await self._ledger.claim(claim)
        if answer.verdict == ClaimVerdict.GRANTED:
            return await self._run_granted(routed, claim)
        if answer.verdict == ClaimVerdict.UNAVAILABLE:
            # The claim may have been recorded although the reply was lost.
            # Release it, because this call will not be sent.
            self._start_task(self._ledger.release(claim))
        return _answer_from_ledger(answer)

    async def _run_granted(
        self, routed: RoutedCall, claim: CallClaim
    ) -> CallAnswer:
        try:
            answer = await self._at_most_once.run(routed)
        except BronzesillError as error:
            if error.code is ResultCode.CALL_NOT_RUN:
                await self._ledger.release(claim)
            else:
                await self._ledger.record(claim, None)
            raise
        is_body_stored = len(answer.body) <= _MAX_STORED_BODY_BYTES
        outcome = CallOutcome(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if is_body_stored else b'',
            is_body_kept=is_body_stored,
        )
        record_task = self._start_task(self._record_outcome(claim, outcome))
        await asyncio.wait((record_task,), timeout=_MAX_RECORD_WAIT_S)
        return answer

    async def _record_outcome(
        self, claim: CallClaim, outcome: CallOutcome
    ) -> None:
        retry_delay_s = _POLL_INTERVAL_S
        retry_until_s = time.monotonic() + claim.deadline_s
        while not await self._ledger.record(claim, outcome):
            if time.monotonic() > retry_until_s:
                _log.warning(
                    'outcome of call %s could not be recorded', claim.key
                )
                return
            await asyncio.sleep(retry_delay_s)
            retry_delay_s *= 2

    def _start_task(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled():
            # Retrieve the exception: a caller that has disconnected does not
            # do so, and asyncio would log it as never retrieved.
            task.exception()


def _make_claim(routed: RoutedCall) -> CallClaim:
    issued_s = issued_at_s(routed.key)
    if issued_s is None or issued_s > time.time() + MAX_CLOCK_SKEW_S:
        raise BronzesillError(
            ResultCode.FIELD_INVALID,
            'not run: Idempotency-Key must be a UUID of version 7, or a time '
            'in seconds since the epoch, a hyphen and a name',
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


def _answer_from_ledger(answer: ClaimAnswer) -> CallAnswer:
    outcome = answer.outcome
    if answer.verdict == ClaimVerdict.DONE and outcome is not None:
        return CallAnswer(
            outcome.status, outcome.content_type, outcome.body, is_replay=True
        )
    for verdict, code, message in _ERRORS_BY_VERDICT:
        if answer.verdict == verdict:
            raise BronzesillError(code, message)
    raise BronzesillError(ResultCode.CALL_OUTCOME_UNKNOWN, 'outcome unknown')
