"""Ratings of model responses by the platform's rating service."""

import asyncio
import dataclasses
import json

from tornado import httpclient, simple_httpclient

from dragonflydyke import metrics, transport
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import completions, counts

_TIMEOUT_S = 2.0
# Ratings of responses beyond this number would arrive too late to be useful.
_QUEUE_LIMIT = 100
_WORKERS = 4
_MAX_CONNECTIONS = 64


# Raised when a response of the rating service is not a valid rating. An
# uncaught one would end a worker task.
_INVALID_RATING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    OverflowError,
    RecursionError,
)


class RatingClient:
    """HTTP client of the rating service."""

    __slots__ = ("_counters", "_http", "_url")

    def __init__(self, base_url: str, counters: metrics.Counters) -> None:
        """Creates a client.

        Args:
            base_url: URL of the rating service without a path.
            counters: Receives `rating.<outcome>`.
        """
        self._url = f"{base_url}/v1/ratings"
        self._counters = counters
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=transport.AddressResolver(),
            max_clients=_MAX_CONNECTIONS,
        )

    async def rate(self, version: str, text: str) -> float | None:
        """Returns the rating of a model response, 0..1.

        Args:
            version: Version that generated the response, as `model@version`.
            text: Text of the model response.

        Returns:
            The rating, or None if the service is unavailable or its response
            is not a valid rating.
        """
        request = httpclient.HTTPRequest(
            self._url,
            method="POST",
            body=json.dumps({"version": version, "answer": text}),
            connect_timeout=_TIMEOUT_S,
            request_timeout=_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request)
            rating = float(json.loads(response.body)["rating"])
        except (OSError, httpclient.HTTPError, *_INVALID_RATING_ERRORS):
            self._counters.increment("rating.unavailable")
            return None
        if not 0.0 <= rating <= 1.0:
            self._counters.increment("rating.out_of_range")
            return None
        self._counters.increment("rating.received")
        return rating

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http.close()


@dataclasses.dataclass(slots=True, frozen=True)
class _Sample:
    roll_out: model.Rollout
    body: bytes


class RatingSampler:
    """Has model responses of rollouts rated in the background."""

    __slots__ = ("_client", "_counters", "_counts", "_queue", "_tasks")

    def __init__(
        self,
        client: RatingClient,
        version_counts: counts.VersionCounts,
        counters: metrics.Counters,
    ) -> None:
        self._client = client
        self._counts = version_counts
        self._counters = counters
        self._queue: asyncio.Queue[_Sample] = asyncio.Queue(_QUEUE_LIMIT)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the workers that rate queued responses."""
        self._tasks = [
            asyncio.create_task(self._run()) for _ in range(_WORKERS)
        ]

    async def stop(self) -> None:
        """Stops the workers; responses still queued are not rated."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def offer(self, roll_out: model.Rollout, answer: bytes) -> None:
        """Queues a response to be rated; drops it if the queue is full.

        Args:
            roll_out: Rollout whose new version generated the response.
            answer: Body of the response.
        """
        try:
            self._queue.put_nowait(_Sample(roll_out, answer))
        except asyncio.QueueFull:
            self._counters.increment("rating.dropped")

    async def _run(self) -> None:
        while True:
            sample = await self._queue.get()
            roll_out = sample.roll_out
            version = model.version_id(roll_out.model, roll_out.to_version)
            text = completions.extract_text(sample.body)
            rating = await self._client.rate(version, text)
            if rating is not None:
                self._counts.record_rating(
                    roll_out.name, roll_out.to_version, rating
                )
