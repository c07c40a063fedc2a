"""Reports of engines on their runs, memory and prompt cache."""

import dataclasses

__all__ = ['CacheEvent', 'CacheEvents', 'EngineReport', 'RunReport']


@dataclasses.dataclass(frozen=True)
class RunReport:
    """
    One run of an engine.

    :param run_id: id of the request that the run answers.
    :param memory_tokens: number of tokens that the run holds in memory.
    :param events: number of events generated so far.
    :param priority: priority, 0 is the highest.
    """

    run_id: str
    memory_tokens: int
    events: int
    priority: int


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """
    State of an engine, some hundred milliseconds old.

    :param running: number of running requests.
    :param waiting: number of requests that wait for a slot.
    :param memory_used: number of tokens in memory that cannot be evicted.
    :param memory_tokens: capacity of the memory in tokens.
    :param is_executing_order: whether the engine is executing an order.
    :param orders: number of orders accepted since the start.
    :param started_at_s: start time in seconds since the epoch.
    :param leaves_in_s: seconds until the engine leaves, ``None`` if unknown.
    :param runs: the runs of the engine.
    """

    running: int
    waiting: int
    memory_used: int
    memory_tokens: int
    is_executing_order: bool = False
    orders: int = 0
    started_at_s: float = 0
    leaves_in_s: float | None = None
    runs: tuple[RunReport, ...] = ()


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """
    One change of an engine's prompt cache.

    :param number: sequence number, incremented by one for each event.
    :param is_cached: whether the part was cached, or else evicted.
    :param part: id of the part of a prompt.
    :param tokens: number of tokens of the part now cached.
    :param model: model that processed the part.
    """

    number: int
    is_cached: bool
    part: str
    tokens: int
    model: str


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """
    Changes of an engine's prompt cache.

    :param epoch: identifies the run of the engine process; differs after each
        restart.
    :param next_number: sequence number from which to request the next events.
    :param has_gap: whether older events were lost.
    :param events: the changes, oldest first.
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: tuple[CacheEvent, ...]
