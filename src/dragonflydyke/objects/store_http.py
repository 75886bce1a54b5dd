"""HTTP calls to a store, with errors that state whether they had an effect."""

import enum
from collections.abc import Callable

from tornado import httpclient, simple_httpclient

from dragonflydyke import errors, logs, metrics, transport
from dragonflydyke.objects import model, transfers

# The HTTP client queues requests above this number without reporting it.
_MAX_CONNECTIONS = 1_000
_MAX_BODY_BYTES = 8_000_000
_UNAVAILABLE = 503
DEFAULT_MAX_SILENCE_S = 2.0
_MAX_ERA_DIGITS = 18

_LOGGER = logs.get_logger("store")


class StoreMethod(enum.StrEnum):
    """HTTP methods of the store APIs."""

    GET = "GET"
    POST = "POST"
    PUT = "PUT"
    DELETE = "DELETE"


class StoreHttpClient:
    """Sends calls to a store; distinguishes rejections from lost responses.

    Each call uses a new connection, so that a connection that stopped
    responding costs one timeout and does not affect later calls.

    Attributes:
        peer: Name of the store in errors.
    """

    __slots__ = (
        "_base_url",
        "_counters",
        "_era",
        "_era_header",
        "_http",
        "_timeout_s",
        "peer",
    )

    def __init__(
        self,
        base_url: str,
        peer: str,
        counters: metrics.Counters,
        *,
        timeout_s: float,
        era_header: str,
        max_silence_s: float = DEFAULT_MAX_SILENCE_S,
    ) -> None:
        """Creates a client without connections.

        Args:
            base_url: URL of the store without a path.
            peer: Name of the store in errors.
            counters: Receives `platform.<method>.<outcome>` and
                `platform.restored`.
            timeout_s: Timeout, in seconds, of connecting, of the time until the
                response begins to arrive, to which the `wait_s` of a call is
                added, and of each pause while it arrives.
            era_header: Header in which responses state the era of the store.
            max_silence_s: Seconds after which a connection that went silent
                during a long poll is closed.
        """
        self.peer = peer
        self._era: int | None = None
        self._era_header = era_header
        self._base_url = base_url
        self._counters = counters
        self._timeout_s = timeout_s
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONNECTIONS,
            max_body_size=_MAX_BODY_BYTES,
        )
        # The HTTP client has no parameter for it.
        self._http.tcp_client = transport.ProbingTCPClient(max_silence_s)

    @property
    def era(self) -> int:
        """Newest era that the store stated, 0 before the first response.

        It rises when the store is restored from a copy.
        """
        return self._era or 0

    async def call(
        self,
        method: StoreMethod,
        path: str,
        *,
        expected_statuses: tuple[int, ...],
        rejected_statuses: tuple[int, ...] = (_UNAVAILABLE,),
        headers: dict[str, str] | None = None,
        body: str | None = None,
        wait_s: float = 0.0,
        on_start: Callable[[], None] = lambda: None,
    ) -> httpclient.HTTPResponse:
        """Sends one call.

        Args:
            method: HTTP method.
            path: Path and query.
            expected_statuses: Statuses whose responses are returned.
            rejected_statuses: Statuses with which the store states that the
                call had no effect.
            headers: Headers of the call.
            body: Body of the call.
            wait_s: Seconds for which the store may delay the response of a
                long poll.
            on_start: Called when the body of a response begins to arrive.

        Returns:
            The response, which has one of the expected statuses.

        Raises:
            PlatformUnavailableError: If the call failed without an effect.
            OutcomeUnknownError: If a write failed that may have taken effect.
        """
        transfer = transfers.Transfer(self._timeout_s, on_start)
        request = httpclient.HTTPRequest(
            self._base_url + path,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=transfers.MAX_DURATION_S + wait_s,
            streaming_callback=transfer.receive,
        )
        try:
            response = await transfer.complete(
                self._http.fetch(request, raise_error=False), wait_s
            )
        except (OSError, httpclient.HTTPError) as error:
            if transport.was_not_sent(error):
                raise self._unavailable_error(method, error) from error
            raise self._response_lost_error(method, error) from error
        if response.code in rejected_statuses:
            raise self._unavailable_error(method, f"status {response.code}")
        if response.code not in expected_statuses:
            raise self._response_lost_error(
                method, f"unexpected status {response.code}"
            )
        self._counters.increment(f"platform.{method}.answered")
        self._record_era(self.find_era(response))
        return response

    def find_era(self, response: httpclient.HTTPResponse) -> int:
        """Returns the era that a response states, 0 without one."""
        text = response.headers.get(self._era_header, "")
        is_number = text.isascii() and text.isdigit()
        return int(text) if is_number and len(text) <= _MAX_ERA_DIGITS else 0

    def check_era(self, kind: str, name: str, version: int) -> None:
        """Checks that the condition of a write can still hold.

        Raises:
            ConflictError: If the version was read before the store was restored
                from a copy. The store may have issued its revision again for
                another state of the object.
        """
        if model.find_era(version) < self.era:
            raise model.ConflictError(kind, name, None, peer=self.peer)

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http.close()

    def _record_era(self, era: int) -> None:
        if self._era is not None and era <= self._era:
            return
        if self._era is not None:
            self._counters.increment("platform.restored")
            _LOGGER.warning(
                "store was restored from a copy",
                peer=self.peer,
                era=era,
                previous_era=self._era,
            )
        self._era = era

    def _unavailable_error(
        self, method: StoreMethod, cause: object
    ) -> model.PlatformUnavailableError:
        self._counters.increment(f"platform.{method}.unavailable")
        step = errors.Step.WRITE_PLATFORM
        if method is StoreMethod.GET:
            step = errors.Step.READ_PLATFORM
        return model.PlatformUnavailableError(
            f"{method} not executed: {cause}", step=step, peer=self.peer
        )

    def _response_lost_error(
        self, method: StoreMethod, cause: object
    ) -> errors.DragonflydykeError:
        if method is StoreMethod.GET:
            return self._unavailable_error(method, cause)
        self._counters.increment(f"platform.{method}.outcome_unknown")
        return model.OutcomeUnknownError(
            f"{method} sent, response lost: {cause}", peer=self.peer
        )
