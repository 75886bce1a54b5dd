"""Requests to backend servers and parsed forms of their responses."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from dragonflydyke.configuration import model

REQUEST_ID_HEADER = "Dragonflydyke-Request-Id"
# Larger integers cannot be represented exactly as floats.
_MAX_EXACT_COUNT = 2**53
STREAM_ID_HEADER = "Dragonflydyke-Stream-Id"


@dataclasses.dataclass(slots=True, frozen=True)
class BackendRequest:
    """One HTTP request to a backend server.

    Attributes:
        server: Backend server to which it is sent.
        method: HTTP method.
        path: Path and query, already percent-encoded.
        headers: Headers without Connection and Content-Length, which the
            client sets; it also sets Host unless it is given. A request with
            STREAM_ID_HEADER can be cancelled and resumed at an engine.
        body: Whole body, or None for a request without one.
        accepts_unframed: Whether to accept a response that has no length and
            ends when its connection is closed. It counts as complete unless
            the connection was reset.
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
    """Numbers of tokens that a request has used so far."""

    prompt_tokens: int
    completion_tokens: int

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Usage":
        """Parses the `usage` field of the chat API.

        Raises:
            KeyError, TypeError, ValueError: If a count is missing or is not a
                number.
        """
        return cls(
            int(mapping["prompt_tokens"]), int(mapping["completion_tokens"])
        )


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an engine reports about itself, with a delay.

    Attributes:
        as_of_ms: Unix time in milliseconds at which the load was measured.
        running: Number of requests that occupy a slot.
        waiting: Number of queued requests.
        slots: Number of requests that the engine can run concurrently.
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
    """Action that an engine is to perform on a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        kind: Whether to load or unload the version.
        version: Version as `model@version`.
        fencing: Fencing token of the lease under which the order was decided.
    """

    kind: OrderKind
    version: str
    fencing: int


def _parse_count(value: Any) -> int:
    """Returns a number reported by an engine as an integer.

    Estimates of load are computed with floats, so the number must be small
    enough to be exact as a float.

    Raises:
        TypeError: If the value is not a number.
        ValueError: If it is not between 0 and _MAX_EXACT_COUNT.
    """
    if not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} is not a number")
    if not 0 <= value <= _MAX_EXACT_COUNT:
        raise ValueError("number is out of range")
    return int(value)
