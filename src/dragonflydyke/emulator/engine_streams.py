"""Scheduling and token generation of an emulated engine."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import time
from typing import Any

from dragonflydyke.emulator import engine_model, prefix_cache

_MS_PER_S = 1_000


class QueueFullError(Exception):
    """The queue is full; the request was not run."""


class Stream:
    """One request to an engine and the tokens generated for it.

    Attributes:
        id: Stream id.
        request_id: Request id of the router, empty if there is none.
        request: The parsed request.
        created_s: Unix time of the arrival in seconds.
        tokens: Tokens generated so far.
        cached_tokens: Prompt tokens that were found in the prefix cache.
        finish_reason: `stop`, `length` or `cancelled`; empty until the stream
            has finished.
        has_started: Whether the request was assigned a slot.
        readers: Number of connections that read the stream.
        task: Task that generates the tokens, None before the start.
    """

    __slots__ = (
        "_changed",
        "cached_tokens",
        "created_s",
        "finish_reason",
        "has_started",
        "id",
        "readers",
        "request",
        "request_id",
        "task",
        "tokens",
    )

    def __init__(
        self, stream_id: str, request_id: str, request: engine_model.ChatRequest
    ) -> None:
        self.id = stream_id
        self.request_id = request_id
        self.request = request
        self.created_s = int(time.time())
        self.tokens: list[str] = []
        self.cached_tokens = 0
        self.finish_reason = ""
        self.has_started = False
        self.readers = 0
        self.task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Notifies the readers of a new token or of the end."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_token(self, index: int) -> bool:
        """Waits for a token; returns False if the stream finishes before it."""
        while len(self.tokens) <= index and not self.finish_reason:
            await self._changed.wait()
        return len(self.tokens) > index

    async def wait_until_finished(self) -> None:
        """Waits until the stream is finished or cancelled."""
        while not self.finish_reason:
            await self._changed.wait()

    def build_usage(self) -> dict[str, Any]:
        """Returns the usage so far in the format of the chat API."""
        prompt_tokens = self.request.prompt_tokens if self.has_started else 0
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": prompt_tokens + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


@dataclasses.dataclass(slots=True, frozen=True)
class LoadSnapshot:
    """Load of the engine at one point in time.

    Attributes:
        at_s: Loop time.
        as_of_ms: Unix time in milliseconds.
        running: Requests in slots.
        waiting: Requests in the queue.
    """

    at_s: float
    as_of_ms: int
    running: int
    waiting: int


class Scheduler:
    """Assigns slots to streams by priority, then in order of arrival.

    Attributes:
        behaviour: Speed, limits and faults.
        counts: Counters of events and tokens by name.
        received: Requests received, by version.
        runs: Executions by request id.
        running: Number of streams in slots.
        seed: Seed of the generated texts.
        streams: Running, queued and retained streams by id.
    """

    __slots__ = (
        "_arrival_numbers",
        "_load_history",
        "_prefix_cache",
        "_waiting",
        "behaviour",
        "counts",
        "received",
        "running",
        "runs",
        "seed",
        "streams",
    )

    def __init__(
        self, behaviour: engine_model.EngineBehaviour, seed: int
    ) -> None:
        self.behaviour = behaviour
        self.seed = seed
        self.running = 0
        self.streams: dict[str, Stream] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self._prefix_cache = prefix_cache.PrefixCache()
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Stream, asyncio.Event]] = []
        self._load_history: collections.deque[LoadSnapshot] = (
            collections.deque()
        )
        self._record_load()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(not entry[2].finish_reason for entry in self._waiting)

    def start(self, stream: Stream) -> None:
        """Queues a stream and starts it if a slot is free.

        Raises:
            QueueFullError: If no slot is free and the queue is at its limit.
        """
        has_free_slot = self.running < self.behaviour.slots
        if not has_free_slot and self.waiting >= self.behaviour.queue_limit:
            self.counts["queue_full"] += 1
            raise QueueFullError
        self.streams[stream.id] = stream
        slot_granted = asyncio.Event()
        entry = (
            stream.request.priority,
            next(self._arrival_numbers),
            stream,
            slot_granted,
        )
        heapq.heappush(self._waiting, entry)
        stream.task = asyncio.get_running_loop().create_task(
            self._run(stream, slot_granted)
        )
        # The callback also runs if the task is cancelled before its first
        # step; a `finally` block within the task would not.
        stream.task.add_done_callback(lambda _: self._release_slot(stream))
        self.fill_slots()

    def fill_slots(self) -> None:
        """Assigns free slots to the first requests in the queue."""
        while self._waiting and self.running < self.behaviour.slots:
            _, _, stream, slot_granted = heapq.heappop(self._waiting)
            if stream.finish_reason:
                continue
            self.running += 1
            stream.has_started = True
            self.runs[stream.request_id] += 1
            self.counts["began"] += 1
            slot_granted.set()
        self._record_load()

    def cancel(self, stream: Stream) -> None:
        """Cancels a stream; has no effect if it has already finished."""
        if stream.finish_reason:
            return
        self.counts["cancelled"] += 1
        self._finish(stream, "cancelled")
        if stream.task is not None:
            stream.task.cancel()

    def detach_reader(self, stream: Stream) -> None:
        """Removes a reader; without readers, the stream is cancelled later.

        The delay is `abandoned_s` of the behaviour, in which a reader can
        resume the stream.
        """
        stream.readers -= 1
        if stream.readers == 0 and not stream.finish_reason:
            asyncio.get_running_loop().call_later(
                self.behaviour.abandoned_s, self._cancel_abandoned, stream
            )

    def report_load(self) -> LoadSnapshot:
        """Returns the newest snapshot that is at least as old as the lag."""
        cutoff_s = asyncio.get_running_loop().time() - self.behaviour.load_lag_s
        while (
            len(self._load_history) > 1
            and self._load_history[1].at_s <= cutoff_s
        ):
            self._load_history.popleft()
        if not self.behaviour.load_lag_s:
            self._record_load()
            return self._load_history[-1]
        return self._load_history[0]

    def clear_prefix_cache(self) -> None:
        """Empties the prefix cache."""
        self._prefix_cache.clear()

    async def _run(self, stream: Stream, slot_granted: asyncio.Event) -> None:
        await slot_granted.wait()
        await self._prefill(stream)
        await self._decode(stream)

    def _release_slot(self, stream: Stream) -> None:
        if stream.has_started:
            self.running -= 1
        self.fill_slots()

    async def _prefill(self, stream: Stream) -> None:
        behaviour = self.behaviour
        stream.cached_tokens = self._prefix_cache.count_cached_tokens(
            stream.request
        )
        uncached_tokens = stream.request.prompt_tokens - stream.cached_tokens
        self.counts["prefill_tokens"] += uncached_tokens
        self.counts["cached_tokens"] += stream.cached_tokens
        await asyncio.sleep(
            uncached_tokens * behaviour.prefill_s * behaviour.slow_factor
        )
        self._prefix_cache.add(stream.request, behaviour.cache_blocks)

    async def _decode(self, stream: Stream) -> None:
        behaviour = self.behaviour
        answer_tokens = behaviour.completion_tokens
        limit = stream.request.max_tokens
        length = answer_tokens if limit is None else min(answer_tokens, limit)
        low_quality = stream.request.version in behaviour.bad_versions
        stall_at = -1
        if behaviour.consume_fault("stall_requests"):
            stall_at = behaviour.stall_after_tokens
        # Sleeping until absolute times keeps timer delays from accumulating.
        next_token_at_s = asyncio.get_running_loop().time()
        for index in range(length):
            if index == stall_at:
                await asyncio.sleep(behaviour.stall_s)
                next_token_at_s += behaviour.stall_s
            next_token_at_s += self._compute_decode_s()
            await asyncio.sleep(
                max(0.0, next_token_at_s - asyncio.get_running_loop().time())
            )
            stream.tokens.append(
                engine_model.generate_token(
                    stream.request, self.seed, index, low_quality
                )
            )
            self.counts["completion_tokens"] += 1
            stream.notify()
        self.counts["completed"] += 1
        self._finish(stream, "stop" if length == answer_tokens else "length")

    def _compute_decode_s(self) -> float:
        behaviour = self.behaviour
        busy_share = (self.running - 1) / max(1, behaviour.slots - 1)
        slowdown = 1 + behaviour.batch_slowdown * busy_share
        return behaviour.decode_s * behaviour.slow_factor * slowdown

    def _finish(self, stream: Stream, reason: str) -> None:
        stream.finish_reason = reason
        stream.notify()
        asyncio.get_running_loop().call_later(
            self.behaviour.retained_s, self._remove, stream
        )

    def _remove(self, stream: Stream) -> None:
        if self.streams.get(stream.id) is stream:
            del self.streams[stream.id]

    def _cancel_abandoned(self, stream: Stream) -> None:
        if stream.readers == 0:
            self.cancel(stream)

    def _record_load(self) -> None:
        self._load_history.append(
            LoadSnapshot(
                at_s=asyncio.get_running_loop().time(),
                as_of_ms=int(time.time() * _MS_PER_S),
                running=self.running,
                waiting=self.waiting,
            )
        )
        cutoff_s = self._load_history[-1].at_s - self.behaviour.load_lag_s
        while (
            len(self._load_history) > 1
            and self._load_history[1].at_s <= cutoff_s
        ):
            self._load_history.popleft()
