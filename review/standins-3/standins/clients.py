"""Stand-in for the clients."""

import asyncio
import dataclasses
import itertools

from standins import record, wire

KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

_NUMBERS = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got.

    Attributes:
        attempt_id: Id of the request.
        status: Status, 0 without an answer.
        headers: Headers by lower-case name.
        body: The body.
        is_complete: Whether the body arrived to its end.
        sent_s: Time at which the request was sent.
    """

    attempt_id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    sent_s: float = 0.0


async def send(
    log: record.Record,
    front: tuple[str, int],
    method: str,
    path: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 1_500,
    host: str = "ficu95.example",
    **headers: str,
) -> Answer:
    """Sends one request on a new connection and returns its answer."""
    attempt_id = f"{next(_NUMBERS):016x}"
    fields = {
        "Host": host,
        "Attempt-Id": attempt_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): headers[name] for name in headers},
    }
    if body:
        fields["Content-Length"] = str(len(body))
    answer = Answer(attempt_id)
    answer.sent_s = log.write("send", id=attempt_id, path=path, to=front[0])
    try:
        async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
            await _exchange(front, f"{method} {path}", fields, body, answer)
    except (TimeoutError, OSError):
        pass
    log.write(
        "answer",
        id=attempt_id,
        status=answer.status,
        complete=answer.is_complete,
        sealed="runner-seal" in answer.headers,
        bytes=len(answer.body),
    )
    return answer


async def _exchange(
    front: tuple[str, int],
    start: str,
    fields: dict[str, str],
    body: bytes,
    answer: Answer,
) -> None:
    reader, writer = await asyncio.open_connection(*front)
    try:
        writer.write(wire.format_head(f"{start} HTTP/1.1", fields) + body)
        message = await wire.read_head(reader)
        if message is None:
            return
        answer.status = message.status
        answer.headers = message.headers
        await wire.read_body(reader, message, is_response=True)
        answer.body = message.body
        answer.is_complete = message.is_complete
    finally:
        writer.close()
