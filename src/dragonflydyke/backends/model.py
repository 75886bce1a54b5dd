"""Requests to backend servers and the parsed forms of their answers."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from dragonflydyke.configuration import model

REQUEST_ID_HEADER = "Dragonflydyke-Request-Id"
# Larger numbers are not exact as floats.
_MAX_EXACT_COUNT = 2**53
STREAM_ID_HEADER = "Dragonflydyke-Stream-Id"


@dataclasses.dataclass(slots=True, frozen=True)
class BackendRequest:
    """One HTTP request to a backend server.

    Attributes:
        server: Where it is sent.
        method: HTTP method.
        path: Path and query, already percent-encoded.
        headers: Headers without Connection and Content-Length, which the
            client sets; it also sets Host unless it is given. With
            STREAM_ID_HEADER the request can be cancelled and resumed at an
            engine.
        body: Whole body, or None for a request without one.
        accepts_unframed: Whether an answer without a length may end with its
            connection. It is complete unless the connection was reset.
    """

    server: model.BackendServer
    method: str
    path: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    accepts_unframed: bool = False

    @property
    def stream_id(self) -> str:
        """Id of the stream at the engine, empty if there is none."""
        return next(
            (
                value
                for name, value in self.headers.items()
                if name.lower() == STREAM_ID_HEADER.lower()
            ),
            "",
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Tokens that a request has used so far."""

    prompt_tokens: int
    completion_tokens: int

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Usage":
        """Parses the `usage` field of the chat API.

        Raises:
            KeyError, TypeError, ValueError: If a count is missing or no number.
        """
        return cls(
            int(mapping["prompt_tokens"]), int(mapping["completion_tokens"])
        )


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """What an engine says of its load, with a lag.

    Attributes:
        as_of_ms: Unix time in milliseconds at which the report was true.
        running: Requests that occupy a slot.
        waiting: Requests in the queue.
        slots: Requests that the engine runs at the same time.
        versions: Loaded versions as `model@version`.
    """

    as_of_ms: int
    running: int
    waiting: int
    slots: int
    versions: tuple[str, ...]

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "LoadReport":
        """Parses the body of `GET /v1/load`.

        Raises:
            KeyError, TypeError, ValueError: If a field is missing or invalid.
        """
        versions = mapping["versions"]
        if not isinstance(versions, list):
            raise TypeError("versions is not a list")
        return cls(
            as_of_ms=_parse_count(mapping["as_of_ms"]),
            running=_parse_count(mapping["running"]),
            waiting=_parse_count(mapping["waiting"]),
            slots=_parse_count(mapping["slots"]),
            versions=tuple(str(name) for name in versions),
        )


class OrderKind(enum.StrEnum):
    """What an engine is ordered to do with a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        kind: Load or unload.
        version: `model@version`.
        fencing: Token of the lease under which the order was decided.
    """

    kind: OrderKind
    version: str
    fencing: int


def _parse_count(value: Any) -> int:
    """Returns a number from an engine as a whole number.

    Raises:
        TypeError, ValueError: If it is no number of at least 0 that is exact
            as a float; estimates of load are computed with floats.
    """
    if not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} is not a number")
    if not 0 <= value <= _MAX_EXACT_COUNT:
        raise ValueError("number out of range")
    return int(value)
