"""Task of one generation: decides on its events and performs the actions."""

from __future__ import annotations

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Callable

from ..upstream import AnswerMemory
from ..utils import Address, PartLogger, ResultCode, log_unexpected
from .attempt import AttemptRunner
from .attempt_placement import AttemptPlacer
from .decisions import decide
from .look_messages import WaitEnded
from .look_results import after_look
from .messages import (
    Action,
    AttemptLost,
    Begin,
    CancelAttempt,
    ChooseServer,
    CompleteAnswer,
    CountDropped,
    DeliverTokens,
    Event,
    FailAnswer,
    LookedElsewhere,
    LookElsewhere,
    LossCause,
    NoServer,
    OpenAttempt,
    PlacementRefused,
    ProbeServer,
    SetTimer,
    TimerFired,
)
from .observer import GenerationObserver
from .placement import Placement
from .request import GenerationRequest
from .server_activity import finite_s
from .shared_probes import ProbeSharingClient
from .state import GenerationState, Phase
from .subscription import (
    AcceptedTokens,
    AnswerCompleted,
    AnswerFailed,
    AnswerReaders,
    AnswerTooLarge,
    HeadArrived,
    KeptTokens,
    Subscribe,
    Subscribers,
    TaskMessage,
    Unsubscribe,
)

__all__ = ['GenerationTask']

_log = PartLogger('generations')


class GenerationTask:
    """
    One generation from admission to its end.

    :param request: request to answer.
    :param fingerprint: hash of the request's body.
    :param state: initial state.
    :param client: client for engine streams.
    :param placer: places the attempts on backend servers.
    :param find_address: returns the address of a backend server by name, or
        None if the server is unknown.
    :param observer: receives notifications about attempts and tokens.
    :param memory: bytes of all answers that the host keeps.
    :param unread_timeout_s: seconds without a reader after which the
        generation stops.
    """

    def __init__(
        self,
        request: GenerationRequest,
        fingerprint: int,
        state: GenerationState,
        client: ProbeSharingClient,
        placer: AttemptPlacer,
        find_address: Callable[[str], Address | None],
        observer: GenerationObserver,
        memory: AnswerMemory,
        unread_timeout_s: float,
    ) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.state = state
        self.mailbox: asyncio.Queue[TaskMessage] = asyncio.Queue()
        self.accepted_tokens = KeptTokens(memory, self.mailbox)
        self.subscribers = Subscribers(self.mailbox)
        #: Servers to which the connection ended before the answer began.
        self.unanswered_losses = 0
        #: Why no server was chosen at the last choice, empty if one was.
        self.unplaced_reason = ''
        self._placer = placer
        self._observer = observer
        self._readers = AnswerReaders(
            self.mailbox, self.accepted_tokens, unread_timeout_s
        )
        self._answered_attempt = 0
        self._lost_by_cause: Counter[str] = Counter()
        self._attempts = AttemptRunner(
            client, find_address, observer, self.mailbox
        )

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer has been delivered."""
        return self.state.accepted > 0

    async def run(self) -> None:
        """
        Process messages until there has been no reader for the timeout.

        A generation that has ended remains available for that time, so that a
        caller can reconnect and read the answer again.
        """
        self._apply(Begin())
        try:
            while True:
                await self._handle_next_message()
        except TimeoutError:
            _log.event('no_reader_left', request=self.request.request_id)
            await self._cancel_unread()
        finally:
            self.accepted_tokens.clear()
            await self._attempts.close()

    def drop_unanswered_attempt(self) -> None:
        """End the current attempt if no token of the answer has arrived."""
        is_open = self.state.phase is Phase.STREAMING
        if is_open and not self.state.accepted:
            self.mailbox.put_nowait(
                AttemptLost(self.state.attempt, LossCause.BLOCKED)
            )

    def look_again(self) -> None:
        """Choose a server now, if the generation waits for one."""
        self.mailbox.put_nowait(TimerFired())

    def refuse(self, refusal: PlacementRefused) -> None:
        """End the generation, unless it has been sent to a server."""
        self.mailbox.put_nowait(refusal)

    def log_cut(self) -> None:
        """Log that the host exits before the answer is complete."""
        state = self.state
        now_s = asyncio.get_running_loop().time()
        _log.event(
            'stream_cut',
            request=self.request.request_id,
            phase=state.phase.value,
            server=state.server,
            at_token=state.accepted,
            silent_s=round(now_s - state.last_activity_at_s, 3),
            remaining_s=round(state.deadline_at_s - now_s, 3),
        )

    async def _handle_next_message(self) -> None:
        message = await self._readers.next_message()
        if self.subscribers.is_empty and not self._readers.unread_timeout_s:
            # A server that was chosen meanwhile must not get the request.
            raise TimeoutError
        try:
            self._handle_message(message)
        except Exception as error:
            log_unexpected(self.request.request_id, 'a generation', error)
            self._end_unexpectedly()

    def _end_unexpectedly(self) -> None:
        failed = dataclasses.replace(self.state, phase=Phase.FAILED)
        self.state = failed
        self._readers.finish(
            AnswerFailed(ResultCode.GENERATION_LOST, self._lost_attempts)
        )

    def _give_up_answer(self) -> None:
        """End an answer without end, which another server would not end."""
        state = self.state
        if state.phase is Phase.STREAMING:
            self._cancel_attempt(
                CancelAttempt(
                    state.attempt,
                    state.server,
                    LossCause.BROKEN,
                    'the answer is too large to be kept',
                )
            )
        self._readers.drop_unread()
        self._end_unexpectedly()

    def _handle_message(self, message: TaskMessage) -> None:
        match message:
            case Subscribe():
                self._readers.add(message.queue)
            case Unsubscribe():
                self._readers.remove(message.queue)
            case HeadArrived():
                self._record_head(message)
            case AnswerTooLarge():
                self._give_up_answer()
            case _:
                self._apply(message)

    def _record_head(self, message: HeadArrived) -> None:
        self._answered_attempt = message.attempt
        if message.attempt == self.state.attempt:
            self._readers.record_head(message.head)

    def _apply(self, event: Event) -> None:
        now_s = asyncio.get_running_loop().time()
        informed = self._placer.activities.inform(event, self.state)
        decision = decide(self.state, informed, now_s)
        self.state = decision.state
        for action in decision.actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case DeliverTokens():
                self._deliver(action)
            case CompleteAnswer():
                self._attempts.record_end(self.request, is_failed=False)
                self._readers.finish(
                    AnswerCompleted(
                        action.total, action.reason, self._lost_attempts
                    )
                )
            case FailAnswer():
                self._placer.queue.leave(self.request)
                self._readers.finish(
                    AnswerFailed(
                        action.code, self._lost_attempts, action.retry_after_s
                    )
                )
            case CountDropped():
                self._observer.tokens_dropped(action.late, action.repeated)
            case WaitEnded():
                self._observer.wait_ended()
            case _:
                self._perform_attempt(action)

    def _perform_attempt(self, action: Action) -> None:
        match action:
            case ChooseServer():
                self._attempts.start_task(self._find_server(action))
            case OpenAttempt():
                self._open(action)
            case LookElsewhere():
                self._attempts.start_task(self._look_elsewhere(action))
            case ProbeServer():
                self._attempts.probe(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case SetTimer():
                self._set_timer(action.at_s)

    def _open(self, action: OpenAttempt) -> None:
        _log.event(
            'attempt_sent',
            request=self.request.request_id,
            attempt=action.attempt,
            server=action.server,
            fill=round(self.state.fill, 2),
            from_token=action.offset,
            uses_copy=action.uses_copy,
            copy_to=action.copy_to,
        )
        self._attempts.open(self.request, action, self.accepted_tokens.texts)

    def _deliver(self, action: DeliverTokens) -> None:
        self._attempts.record_arrival(self.request, len(action.tokens))
        self._observer.tokens_accepted(
            len(action.tokens), is_first=not self.accepted_tokens
        )
        self._readers.deliver(AcceptedTokens(action.offset, action.tokens))

    async def _find_server(self, action: ChooseServer) -> None:
        try:
            placement = await self._placer.place(self, action)
        except Exception as error:
            log_unexpected(self.request.request_id, 'choosing a server', error)
            placement = Placement(NoServer(), self.request)
        self.request = placement.request
        self.mailbox.put_nowait(placement.event)

    @property
    def _lost_attempts(self) -> str:
        counts = sorted(self._lost_by_cause.items())
        return ', '.join(f'{cause} {count}' for cause, count in counts)

    async def _look_elsewhere(self, action: LookElsewhere) -> None:
        try:
            looked = await self._placer.look(self, action)
            looked = self._placer.activities.inform_look(looked, self.state)
        except Exception as error:
            log_unexpected(self.request.request_id, 'looking elsewhere', error)
            return
        _log.event(
            'looked_elsewhere',
            request=self.request.request_id,
            attempt=action.attempt,
            server=action.server,
            is_alive=looked.is_alive,
            candidate=looked.candidate,
            is_shared=looked.is_shared,
            **self._describe_wait(looked),
        )
        self.mailbox.put_nowait(looked)

    def _describe_wait(
        self, looked: LookedElsewhere
    ) -> dict[str, float | None]:
        """Return log fields on how long the server may be silent."""
        activity = looked.activity
        if activity is None or not self.state.is_current(looked.attempt):
            return {}
        now_s = asyncio.get_running_loop().time()
        known = after_look(self.state, looked, now_s)
        leave_after_s = known.leave_at_s - known.last_activity_at_s
        return {
            'silent_s': round(now_s - known.last_activity_at_s, 3),
            'leave_after_s': finite_s(leave_after_s),
            **activity.log_fields(now_s),
        }

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        now_s = asyncio.get_running_loop().time()
        self._lost_by_cause[action.cause.value] += 1
        _log.event(
            'attempt_lost',
            request=self.request.request_id,
            attempt=action.attempt,
            server=action.server,
            at_token=self.state.accepted,
            cause=action.cause.value,
            is_shared=action.is_shared,
            had_head=self._answered_attempt == action.attempt,
            prompt_parts=self.request.shared_prompt_parts,
            detail=action.detail,
            **(action.basis.log_fields(now_s) if action.basis else {}),
        )
        if action.basis is not None:
            self._observer.run_moved(action.basis.reason)
        is_disconnected = action.cause is LossCause.DISCONNECTED
        if is_disconnected and self.state.accepted:
            self._attempts.check_lost_server(action)
        elif is_disconnected:
            self.unanswered_losses += 1
        if action.cause is LossCause.UNSENT:
            self._placer.return_send(self)
        self._attempts.cancel(self.request, action)

    def _set_timer(self, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at(at_s, self.mailbox.put_nowait, TimerFired())

    async def _cancel_unread(self) -> None:
        is_running = not self._readers.has_end and bool(self.state.server)
        if is_running and await self._observer.may_cancel(self.request):
            await self._attempts.cancel_stream(
                self.request, self.state.server, self.state.attempt
            )
