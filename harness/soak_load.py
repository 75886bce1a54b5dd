"""Mixed load of the soak: streams, completions, sessions, service calls."""

import asyncio
import collections
import random

from harness import deployment, invariants, recording_client

_CHAT_WORKERS = 6
_SESSION_WORKERS = 2
_CALL_WORKERS = 3
_OK = 200
_MAX_ATTEMPTS = 6
_MAX_TURNS = 6
_MAX_DELAY_S = 0.2
_RETRY_DELAY_S = 0.3
_SESSION_HEADER = "Dragonflydyke-Session"


class SoakLoad:
    """Sends requests like clients that retry, and keeps every response.

    Attributes:
        chats: All chat completions with their responses.
        calls: All service calls that are not idempotent, with their keys.
        lookups: Responses to all idempotent service calls.
        session_faults: Descriptions of sessions whose version changed.
        counts: Number of requests by kind and outcome.
    """

    __slots__ = (
        "_client",
        "_is_stopping",
        "_last_number",
        "_random",
        "_running",
        "_tasks",
        "calls",
        "chats",
        "counts",
        "lookups",
        "session_failures",
    )

    def __init__(
        self,
        running: deployment.Deployment,
        client: recording_client.RecordingClient,
        generator: random.Random,
    ) -> None:
        self.chats: list[invariants.SentChat] = []
        self.calls: list[invariants.SentCall] = []
        self.lookups: list[recording_client.RecordedResponse] = []
        self.session_failures: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._running = running
        self._client = client
        self._random = random.Random(generator.random())
        self._last_number = 0
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all workers."""
        for work, count in (
            (self._chat_until_complete, _CHAT_WORKERS),
            (self._run_session, _SESSION_WORKERS),
            (self._call_service, _CALL_WORKERS),
        ):
            self._tasks += (
                asyncio.create_task(self._run_worker(work))
                for _ in range(count)
            )

    async def stop(self) -> None:
        """Sends no further requests and waits for those in progress."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    def list_responses(self) -> list[recording_client.RecordedResponse]:
        """Returns the responses to all requests."""
        return [
            *(entry.response for entry in self.chats),
            *(entry.response for entry in self.calls),
            *self.lookups,
        ]

    async def _run_worker(self, send_next) -> None:
        while not self._is_stopping:
            self._last_number += 1
            await send_next(self._last_number)
            await asyncio.sleep(self._random.uniform(0.0, _MAX_DELAY_S))

    def _pick_url(self) -> str:
        routers = list(self._running.routers.values())
        return self._random.choice(routers).public_url

    def _count_outcome(
        self, kind: str, response: recording_client.RecordedResponse
    ) -> None:
        outcome = "cut" if response.status == _OK else "no answer"
        if response.is_complete:
            outcome = "ended"
        elif response.error:
            outcome = f"error, {response.execution}"
        self.counts[f"{kind}: {outcome}"] += 1

    async def _send_chat(
        self, call: recording_client.ChatCall
    ) -> recording_client.RecordedResponse:
        response = await self._client.chat(self._pick_url(), call)
        self.chats.append(invariants.SentChat(call, response))
        self._count_outcome("stream" if call.stream else "whole", response)
        return response

    async def _chat_until_complete(self, number: int) -> None:
        call = recording_client.ChatCall(
            f"question {number} {self._random.random()}",
            model=self._random.choice(("planner-small", "planner-large")),
            stream=self._random.random() < 0.6,
            headers={"Idempotency-Key": f"chat {number}"},
            max_tokens=self._random.choice((None, 5, 20)),
        )
        for _ in range(_MAX_ATTEMPTS):
            response = await self._send_chat(call)
            if response.is_complete or (
                response.error and not response.error.get("retry")
            ):
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _run_session(self, number: int) -> None:
        token, version = "new", ""
        for turn in range(self._random.randint(1, _MAX_TURNS)):
            call = recording_client.ChatCall(
                f"session {number} turn {turn}",
                headers={_SESSION_HEADER: token},
            )
            response = await self._send_chat(call)
            if not response.is_complete:
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            token = response.headers.get(_SESSION_HEADER, token)
            if version and response.version != version:
                self.session_failures.append(
                    f"{response.request_id}: {version} became "
                    f"{response.version}"
                )
            version = response.version

    async def _call_service(self, number: int) -> None:
        if self._random.random() < 0.3:
            response = await self._client.call_service(
                self._pick_url(), "lookup"
            )
            self.lookups.append(response)
            self._count_outcome("lookup", response)
            return
        key = f"pallet {number}"
        copies = self._random.choice((1, 1, 2, 3))
        await asyncio.gather(
            *(self._print_until_complete(key) for _ in range(copies))
        )

    async def _print_until_complete(self, key: str) -> None:
        for _ in range(_MAX_ATTEMPTS):
            response = await self._client.call_service(
                self._pick_url(), "print", key, {"pallet": key}
            )
            self.calls.append(invariants.SentCall(key, response))
            self._count_outcome("print", response)
            if response.is_complete or (
                response.error and not response.error.get("retry")
            ):
                return
            await asyncio.sleep(_RETRY_DELAY_S)
