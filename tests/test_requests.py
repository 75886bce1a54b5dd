"""Tests of parsing requests of clients and events of engines."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from dragonflydyke import errors
from dragonflydyke.gateway import accounting, events, requests
from tests.builders import documents, gateway

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters()),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(), children, max_size=3)
    ),
    max_leaves=8,
)
OPTION_NAMES = ("class", "session", "deadline_ms", "idempotency_key")
BODIES = strategies.fixed_dictionaries(
    {"model": JSON_VALUES | strategies.just("m"), "messages": JSON_VALUES},
    optional={
        **dict.fromkeys(("stream", "stream_options"), JSON_VALUES),
        "max_tokens": JSON_VALUES,
        "metadata": strategies.dictionaries(
            strategies.sampled_from(OPTION_NAMES), JSON_VALUES
        ),
    },
)
VALID_BODY = {"model": "m", "messages": [{}]}


class RequestParsingTest(unittest.TestCase):
    """Guards against crashes and forged fields caused by invalid requests."""

    def parse(self, raw: bytes, headers=None) -> requests.ChatRequest | None:
        try:
            return requests.parse_chat(headers or {}, raw)
        except errors.DragonflydykeError as error:
            self.assertEqual(error.status, 400)
            self.assertIs(error.execution, errors.Execution.NOT_RUN)
            return None

    def check(self, request: requests.ChatRequest) -> None:
        request_class = documents.build_document().classes[0]
        body = json.loads(request.encode_for_engine("m@v", request_class))
        self.assertEqual(body["model"], "m@v")
        self.assertGreaterEqual(request.estimate_tokens(request_class), 0)
        key = request.options.idempotency_key
        accounting.compute_bill_id("a", key, request.digest, "id")

    @hypothesis.given(strategies.binary())
    def test_arbitrary_bytes(self, raw: bytes) -> None:
        self.parse(raw)

    @hypothesis.given(BODIES)
    def test_arbitrary_bodies(self, body: dict) -> None:
        request = self.parse(json.dumps(body).encode())
        if request is not None:
            self.check(request)

    @hypothesis.given(strategies.text())
    def test_arbitrary_deadlines(self, text: str) -> None:
        headers = {requests.DEADLINE_HEADER: text}
        request = self.parse(json.dumps(VALID_BODY).encode(), headers)
        if request is not None:
            deadline_s = request.options.deadline_s
            self.assertTrue(0 < deadline_s <= 3_600)

    def test_numbers_outside_json_and_nesting(self) -> None:
        for text in ("NaN", "Infinity", "1e999"):
            raw = b'{"model":"m","messages":[{}],"x":%s}' % text.encode()
            self.assertIsNone(self.parse(raw))
        self.assertIsNone(self.parse(b"[" * 100_000))

    def test_control_characters(self) -> None:
        requests.check_headers([("X", "a\tb")])
        for value in ("a\r\nb", "a\x00", "a\x7f"):
            with self.assertRaises(errors.DragonflydykeError) as caught:
                requests.check_headers([("X", value)])
            self.assertEqual(caught.exception.code, "invalid_header")


class EventSplittingTest(unittest.TestCase):
    """Guards against events that are split or classified incorrectly."""

    @hypothesis.given(
        strategies.lists(strategies.text(min_size=1), min_size=1),
        strategies.integers(1, 40),
    )
    def test_events_are_independent_of_chunk_boundaries(
        self, texts: list[str], size: int
    ) -> None:
        whole = b"".join(gateway.build_chunk_event(text) for text in texts)
        splitter = events.DataSplitter()
        found: list[bytes] = []
        for start in range(0, len(whole), size):
            found += splitter.feed(whole[start : start + size])
        values = [json.loads(data) for data in found]
        contents = [v["choices"][0]["delta"]["content"] for v in values]
        self.assertEqual(contents, texts)

    @hypothesis.given(strategies.text())
    def test_text_that_looks_like_usage_is_not_parsed(self, text: str) -> None:
        # Guards against withholding an event whose text looks like the end of
        # a stream.
        tricky = f'{text}"usage": {{"finish_reason": "stop"'
        event = gateway.build_chunk_event(tricky)
        data = event.removeprefix(b"data: ").strip()
        self.assertIsNone(events.parse_final_event(data))
