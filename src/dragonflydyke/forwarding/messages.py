"""Requests, dispatches and responses, independent of header names."""

import dataclasses
import hashlib
from typing import Protocol

from tornado import httputil

_FINGERPRINT_BYTES = 12
# Separates the fields of a fingerprint from each other.
_LENGTH_BYTES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that requests may share; `tokens` is its length."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestDetails:
    """Contents of the headers of a request.

    Attributes:
        request_id: Id of the client's attempt.
        deadline_s: Seconds that the client waits, None if not stated.
        api_key: Key of the client account, empty without one.
        model: Requested model, empty without one.
        wants_any_model: Whether the router chooses the model.
        prompt: Parts of the prompt in order.
        prompt_tokens: Length of the prompt in tokens.
        max_output_tokens: Maximum number of output tokens.
        length_hint: Output tokens that the client expects, 0 if unknown.
        last_event_id: Last event that the client received, None at the start.
        session: Session that the request belongs to, empty without one.
    """

    request_id: str
    deadline_s: float | None
    api_key: str
    model: str = ""
    wants_any_model: bool = False
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int = 0
    last_event_id: int | None = None
    session: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share: all but the last."""
        return self.prompt[:-1]

    @property
    def shared_part_ids(self) -> frozenset[str]:
        """Ids of the shared parts."""
        return frozenset(part.part_id for part in self.shared_parts)

    @property
    def shared_prefix(self) -> PromptPart | None:
        """Last part of the longest prefix that other requests may share.

        The last part of a prompt is specific to the request or its session.
        """
        if not self.prompt:
            return None
        return self.prompt[-2] if len(self.prompt) > 1 else self.prompt[-1]


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """A complete request of a client; `received_s` is a loop time."""

    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_s: float
    details: RequestDetails

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    def compute_fingerprint(self, account: str) -> str:
        """Returns a digest of what a request and its repetition share.

        Args:
            account: Client account, empty for anonymous requests.
        """
        digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
        for field in (
            account.encode(),
            self.method.encode(),
            self.target.encode(),
            self.body,
        ):
            digest.update(len(field).to_bytes(_LENGTH_BYTES))
            digest.update(field)
        return digest.hexdigest()


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """Values that an attempt adds to the request that it sends to a server.

    Attributes:
        server: Name of the only server that may run the request.
        remaining_s: Seconds until the deadline of the request.
        account: Client account, empty for anonymous requests.
        model: Model to use, empty to keep the model of the client.
        urgency: 0 to 9, where 0 is the most urgent; None for plain servers.
        last_event_id: Event after which a stream continues, or None.
        prefix_source: Address, as `host:port`, of an engine from which the
            server may fetch the cached prefix, empty for none.
    """

    server: str
    remaining_s: float
    account: str = ""
    model: str = ""
    urgency: int | None = None
    last_event_id: int | None = None
    prefix_source: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseDetails:
    """Contents of status and headers of a server's response.

    Attributes:
        request_id: Id of the request, empty if the response states none.
        is_signed: Whether the response has the server's signature.
        not_run: Whether the server states that it did not run the request.
        is_misdirected: Whether another server has the address now.
        is_stream: Whether the body is a stream of events.
        has_content_encoding: Whether the body has a content encoding.
        confidence: Confidence that the model reports, 0..1, or None.
        server_limit_per_s: Requests a second that the server accepts from all
            nodes together, None if it names no limit.
        server_leaves: Whether the server accepts no further requests.
        pause_s: Seconds for which the server wants no requests of this node,
            None if it does not say so.
        cold_s: Seconds for which the server stays cold, 0 if it says that it
            is warm, None if it says neither, infinite if that cannot be read.
        tolerated_rejections_per_s: Rejections a second beyond which the server
            falls over, None if it does not say that it is brittle.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    is_misdirected: bool = False
    is_stream: bool = False
    has_content_encoding: bool = False
    confidence: float | None = None
    server_limit_per_s: float | None = None
    server_leaves: bool = False
    pause_s: float | None = None
    cold_s: float | None = None
    tolerated_rejections_per_s: float | None = None


class HeaderCodec(Protocol):
    """Translates between headers and the types of this module."""

    def read_request(self, headers: httputil.HTTPHeaders) -> RequestDetails:
        """Returns the contents of the headers of a request.

        Raises:
            ValueError: If a required header cannot be parsed.
        """

    def write_request(
        self, request: IncomingRequest, dispatch: Dispatch
    ) -> httputil.HTTPHeaders:
        """Returns the headers for a server, without framing headers."""

    def read_response(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> ResponseDetails:
        """Returns the contents of status and headers of a response."""

    def write_response(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a server's response for the client."""

    def write_rejection(
        self, request_id: str, retry_after_s: float | None
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a response that the router itself creates."""

    def read_event_id(self, event: bytes) -> int | None:
        """Returns the id of an event of a stream, None if it has none."""
