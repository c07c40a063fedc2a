"""What engines report of themselves when they are asked."""

import dataclasses

__all__ = ['CacheEvent', 'CacheEvents', 'EngineReport', 'RunReport']


@dataclasses.dataclass(frozen=True)
class RunReport:
    """
    One run of an engine.

    :param run_id: id of the request that it answers.
    :param memory_tokens: tokens that it keeps in memory.
    :param events: events made so far.
    :param priority: its rank, 0 is first.
    """

    run_id: str
    memory_tokens: int
    events: int
    priority: int


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """
    State of an engine some hundred milliseconds ago.

    :param running: requests that run.
    :param waiting: requests that wait for a slot.
    :param memory_used: tokens in memory that cannot yield.
    :param memory_tokens: tokens that the memory holds.
    :param is_ordered: whether it carries out an order.
    :param orders: orders that it accepted since its start.
    :param started_at_s: when it started, seconds since the epoch.
    :param leaves_in_s: seconds until it leaves, none if that is not known.
    :param runs: its runs.
    """

    running: int
    waiting: int
    memory_used: int
    memory_tokens: int
    is_ordered: bool = False
    orders: int = 0
    started_at_s: float = 0
    leaves_in_s: float | None = None
    runs: tuple[RunReport, ...] = ()


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """
    One change of what an engine keeps of prompts.

    :param number: grows by one with each event.
    :param is_kept: whether the part is kept from now on, or dropped.
    :param part: id of the part of a prompt.
    :param tokens: tokens kept of it now.
    :param model: model for which it was read.
    """

    number: int
    is_kept: bool
    part: str
    tokens: int
    model: str


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """
    Changes of what an engine keeps of prompts.

    :param epoch: another one after each restart of the engine.
    :param next_number: number to ask from the next time.
    :param is_gap: whether older events were lost.
    :param events: the changes, oldest first.
    """

    epoch: int
    next_number: int
    is_gap: bool
    events: tuple[CacheEvent, ...]
