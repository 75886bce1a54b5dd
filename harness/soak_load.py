"""Mixed load of the soak: streams, whole answers, sessions and calls."""

import asyncio
import collections
import random

from harness import deployment, invariants, recording_client

_CHAT_WORKERS = 6
_SESSION_WORKERS = 2
_CALL_WORKERS = 3
_OK = 200
_MAX_TRIES = 6
_MAX_TURNS = 6
_MAX_PAUSE_S = 0.2
_RETRY_PAUSE_S = 0.3
_SESSION_HEADER = "Dragonflydyke-Session"


class Load:
    """Sends requests like callers that retry, and keeps every answer.

    Attributes:
        chats: All chat completions.
        calls: All calls that are not repeatable, with their keys.
        lookups: All repeatable calls.
        session_faults: Sessions that changed their version.
        counts: Number of requests by kind and end.
    """

    def __init__(
        self,
        running: deployment.Deployment,
        sender: recording_client.RecordingClient,
        generator: random.Random,
    ) -> None:
        self.chats: list[invariants.SentChat] = []
        self.calls: list[invariants.SentCall] = []
        self.lookups: list[recording_client.RecordedResponse] = []
        self.session_faults: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._running = running
        self._sender = sender
        self._random = random.Random(generator.random())
        self._number = 0
        self._is_over = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all workers."""
        for work, count in (
            (self._ask, _CHAT_WORKERS),
            (self._hold_session, _SESSION_WORKERS),
            (self._call, _CALL_WORKERS),
        ):
            self._tasks += (
                asyncio.create_task(self._repeat(work)) for _ in range(count)
            )

    async def stop(self) -> None:
        """Lets the requests in progress end."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    def list_answers(self) -> list[recording_client.RecordedResponse]:
        """Returns all answers."""
        return [
            *(entry.response for entry in self.chats),
            *(entry.response for entry in self.calls),
            *self.lookups,
        ]

    async def _repeat(self, work) -> None:
        while not self._is_over:
            self._number += 1
            await work(self._number)
            await asyncio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))

    def _pick_url(self) -> str:
        routers = list(self._running.routers.values())
        return self._random.choice(routers).public_url

    def _count(
        self, kind: str, answer: recording_client.RecordedResponse
    ) -> None:
        end = "cut" if answer.status == _OK else "no answer"
        if answer.is_complete:
            end = "ended"
        elif answer.error:
            end = f"error, {answer.execution}"
        self.counts[f"{kind}: {end}"] += 1

    async def _send_chat(
        self, call: recording_client.ChatCall
    ) -> recording_client.RecordedResponse:
        answer = await self._sender.chat(self._pick_url(), call)
        self.chats.append(invariants.SentChat(call, answer))
        self._count("stream" if call.stream else "whole", answer)
        return answer

    async def _ask(self, number: int) -> None:
        call = recording_client.ChatCall(
            f"question {number} {self._random.random()}",
            model=self._random.choice(("planner-small", "planner-large")),
            stream=self._random.random() < 0.6,
            headers={"Idempotency-Key": f"chat {number}"},
            max_tokens=self._random.choice((None, 5, 20)),
        )
        for _ in range(_MAX_TRIES):
            answer = await self._send_chat(call)
            if answer.is_complete or (
                answer.error and not answer.error.get("retry")
            ):
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _hold_session(self, number: int) -> None:
        token, version = "new", ""
        for turn in range(self._random.randint(1, _MAX_TURNS)):
            call = recording_client.ChatCall(
                f"session {number} turn {turn}",
                headers={_SESSION_HEADER: token},
            )
            answer = await self._send_chat(call)
            if not answer.is_complete:
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            token = answer.headers.get(_SESSION_HEADER, token)
            if version and answer.version != version:
                self.session_faults.append(
                    f"{answer.request_id}: {version} became {answer.version}"
                )
            version = answer.version

    async def _call(self, number: int) -> None:
        if self._random.random() < 0.3:
            answer = await self._sender.call_service(self._pick_url(), "lookup")
            self.lookups.append(answer)
            self._count("lookup", answer)
            return
        key = f"pallet {number}"
        copies = self._random.choice((1, 1, 2, 3))
        await asyncio.gather(*(self._print(key) for _ in range(copies)))

    async def _print(self, key: str) -> None:
        for _ in range(_MAX_TRIES):
            answer = await self._sender.call_service(
                self._pick_url(), "print", key, {"pallet": key}
            )
            self.calls.append(invariants.SentCall(key, answer))
            self._count("print", answer)
            if answer.is_complete or (
                answer.error and not answer.error.get("retry")
            ):
                return
            await asyncio.sleep(_RETRY_PAUSE_S)
