"""Requests, attempts and answers as the decisions see them."""

import dataclasses
from typing import Protocol

from tornado import httputil


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, and its length in tokens."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestDetails:
    """What the headers of a request say.

    Attributes:
        request_id: Id of this attempt of the client.
        deadline_s: Seconds that the client waits, None if it did not say.
        api_key: Key of the client account, empty without one.
        model: Requested model, empty without one.
        wants_any_model: Whether the router chooses the model.
        prompt: Parts of the prompt in their order.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens of the answer.
        length_hint: Output tokens that the client expects, 0 if unknown.
        last_event_id: Last event that the client has, None at the start.
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
    def shared_prefix(self) -> PromptPart | None:
        """The longest beginning of the prompt that other requests share.

        The last part belongs to the request or its session.
        """
        if not self.prompt:
            return None
        return self.prompt[-2] if len(self.prompt) > 1 else self.prompt[-1]


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """A whole request of a client; `received_s` is a loop time."""

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


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """What an attempt tells its server beside the client's request.

    Attributes:
        server: Name of the only server that may run it.
        remaining_s: Time left for the request.
        account: Client account, empty for anonymous requests.
        model: Model to use, empty to keep the client's.
        urgency: 0 to 9, where 0 goes first; None for plain servers.
        last_event_id: Event after which a stream continues, or None.
    """

    server: str
    remaining_s: float
    account: str = ""
    model: str = ""
    urgency: int | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseDetails:
    """What the start of a server's answer says.

    Attributes:
        request_id: Request that is answered, empty if it is not named.
        signed: Whether the answer carries the server's signature.
        not_run: Whether the server states that it did not run the request.
        is_stream: Whether the body is a series of events.
        encoded: Whether the body has a content encoding.
        confidence: Model's own opinion of its answer, 0..1, or None.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    is_stream: bool = False
    has_content_encoding: bool = False
    confidence: float | None = None


class HeaderCodec(Protocol):
    """Translates between headers and messages."""

    def read_request(self, headers: httputil.HTTPHeaders) -> RequestDetails:
        """Returns what the headers of a request say.

        Raises:
            ValueError: If a header that is needed cannot be read.
        """

    def write_request(
        self, request: IncomingRequest, dispatch: Dispatch
    ) -> httputil.HTTPHeaders:
        """Returns the headers for a server, without those of the framing."""

    def read_response(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> ResponseDetails:
        """Returns what the start of an answer says."""

    def write_response(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a server's answer for the client."""

    def write_rejection(
        self, request_id: str, retry_after_s: float | None
    ) -> httputil.HTTPHeaders:
        """Returns the headers of an answer of the router itself."""

    def read_event_id(self, event: bytes) -> int | None:
        """Returns the id of an event of a stream, or None."""
