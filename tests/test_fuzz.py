"""Property-based tests of what comes from outside the program."""

import asyncio
import copy
import json
import unittest
from typing import Any

import hypothesis
from google.protobuf import descriptor
from hypothesis import strategies

from dragonflydyke import backends, configuration, errors, metrics, objects
from dragonflydyke.gateway import events
from dragonflydyke.membership import node
from dragonflydyke.protocol import node_pb2
from dragonflydyke.rollouts import answers
from tests.builders import documents, fleet
from tests.builders import objects as memory

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=10), inner, max_size=4
        )
    ),
    max_leaves=10,
)
_SETTINGS = hypothesis.settings(
    deadline=None,  # A busy machine must not fail a test.
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
_SCALARS = {
    descriptor.FieldDescriptor.TYPE_UINT32: strategies.integers(0, 2**32 - 1),
    descriptor.FieldDescriptor.TYPE_UINT64: strategies.integers(0, 2**64 - 1),
    descriptor.FieldDescriptor.TYPE_FIXED64: strategies.integers(0, 2**64 - 1),
    descriptor.FieldDescriptor.TYPE_INT64: strategies.integers(
        -(2**63), 2**63 - 1
    ),
    descriptor.FieldDescriptor.TYPE_BOOL: strategies.booleans(),
    descriptor.FieldDescriptor.TYPE_ENUM: strategies.integers(0, 5),
    descriptor.FieldDescriptor.TYPE_STRING: strategies.sampled_from(
        ["", "vm-0", "vm-1", "vm-2", "config", "keys", "rollout.x"]
    )
    | strategies.text(max_size=10),
    descriptor.FieldDescriptor.TYPE_BYTES: strategies.binary(max_size=20)
    | _JSON.map(lambda value: json.dumps(value).encode()),
}


def _messages(kind: Any) -> strategies.SearchStrategy[Any]:
    """Returns a strategy for messages of a generated type."""
    fields = {field.name: _fields(field) for field in kind.DESCRIPTOR.fields}
    return strategies.fixed_dictionaries({}, optional=fields).map(
        lambda values: kind(**values)
    )


def _fields(
    field: descriptor.FieldDescriptor,
) -> strategies.SearchStrategy[Any]:
    if field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
        single = _messages(getattr(node_pb2, field.message_type.name))
    else:
        single = _SCALARS[field.type]
    if field.is_repeated:
        return strategies.lists(single, max_size=3)
    return single


class _Peer:
    """Peer that answers each fetch with one bundle."""

    def __init__(self, bundle: node_pb2.StateBundle) -> None:
        self._bundle = bundle

    async def exchange(
        self, report: node_pb2.NodeReport, *, timeout_s: float
    ) -> node_pb2.NodeReport:
        """Returns an empty report."""
        return node_pb2.NodeReport()

    async def fetch_state(
        self, request: node_pb2.FetchStateRequest, *, timeout_s: float
    ) -> node_pb2.StateBundle:
        """Returns the bundle."""
        return self._bundle

    async def close(self) -> None:
        """Does nothing."""


class InnerMessageTest(unittest.TestCase):
    """Guards against a message that stops a router or reverts its state."""

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(
            _messages(node_pb2.NodeReport)
            | _messages(node_pb2.ChangeAnnouncement)
            | _messages(node_pb2.FetchStateRequest),
            min_size=1,
            max_size=4,
        ),
        _messages(node_pb2.StateBundle),
    )
    @hypothesis.example(
        [
            node_pb2.NodeReport(
                vm=f"vm-{number}", pending_announcements=2**32 - 1
            )
            for number in (1, 2, 2)
        ],
        node_pb2.StateBundle(),
    )
    def test_messages(
        self, messages: list[Any], bundle: node_pb2.StateBundle
    ) -> None:
        asyncio.run(self._send(messages, bundle))

    async def _send(
        self, messages: list[Any], bundle: node_pb2.StateBundle
    ) -> None:
        counters = metrics.Counters()
        member = node.Membership(
            node.MembershipSettings("vm-0", "cartago-a", "vm-0:1"),
            memory.MemoryObjects(),
            lambda address: _Peer(bundle),
            parse=fleet.parse,
            check_transition=fleet.check_transition,
            counters=counters,
        )
        listed = tuple(
            objects.ListedVm(
                f"vm-{n}", "cartago-a", "entry", f"vm-{n}:1", "live"
            )
            for n in range(3)
        )
        member.contacts.set_vms(objects.VmList(1, listed))
        config = {"revision": 3, "document": {}}
        member.state.adopt(
            [objects.StoredObject("control", "config", 5, config)], 5
        )
        for message in messages:
            if isinstance(message, node_pb2.NodeReport):
                # Without an echo of this router the report is not heard.
                message.echo_incarnation = member.identity.incarnation
                message.echo_held_ms = 2**63
                answer = await member.exchange(message)
            elif isinstance(message, node_pb2.ChangeAnnouncement):
                answer = await member.announce_change(message)
            else:
                answer = await member.fetch_state(message)
            answer.SerializeToString()
            member.permit.holds()
        await member.peers.fetch("vm-1:1")
        await member.exchange(node_pb2.NodeReport(vm="vm-2"))
        self.assertGreaterEqual(member.state.revision, 3)
        self.assertGreaterEqual(member.state.control_version, 5)
        self.assertIsNotNone(member.state.current)
        await member.peers.close()
        self.assertEqual(counters.total("exchange.fault"), 0)


class ConfigurationTest(unittest.TestCase):
    """Guards against a document that stops the router that checks it."""

    @_SETTINGS
    @hypothesis.given(_JSON)
    def test_any_value(self, value: Any) -> None:
        self._parse(value)

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_changed_document(self, data: strategies.DataObject) -> None:
        """Replaces some value of a valid document by any other."""
        mapping = configuration.to_mapping(documents.build_document())
        mapping = json.loads(json.dumps(mapping))
        for _ in range(data.draw(strategies.integers(1, 3))):
            self._replace(mapping, data)
        self._parse(mapping)

    def _replace(self, mapping: Any, data: strategies.DataObject) -> None:
        place = mapping
        while True:
            keys = list(place) if isinstance(place, dict) else range(len(place))
            key = data.draw(strategies.sampled_from(list(keys)))
            inner = place[key]
            is_leaf = not isinstance(inner, dict | list) or not inner
            if is_leaf or data.draw(strategies.booleans()):
                place[key] = data.draw(_JSON)
                return
            place = inner

    def _parse(self, value: Any) -> None:
        try:
            document = configuration.parse(copy.deepcopy(value))
        except errors.DragonflydykeError:
            return
        again = configuration.parse(configuration.to_mapping(document))
        self.assertEqual(document, again)


class EngineAnswerTest(unittest.TestCase):
    """Guards against an engine that stops the routers that listen to it."""

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=30)
            | strategies.sampled_from(
                [
                    b"data: ",
                    b"\n\n",
                    b"\r\n\r\n",
                    events.END_MARKER_EVENT,
                    b'{"usage": {"prompt_tokens": 1e400}}',
                    b'data: {"usage":{}, "finish_reason": "stop"}\n\n',
                    b'{"error": "x"}',
                    b'{"usage": {' + b"[" * 5_000,
                ]
            ),
            max_size=8,
        )
    )
    def test_stream(self, chunks: list[bytes]) -> None:
        """Splits alike whatever the chunks are, and raises nothing else."""
        splitter = events.DataSplitter()
        found = [data for chunk in chunks for data in splitter.feed(chunk)]
        whole = events.DataSplitter().feed(b"".join(chunks))
        self.assertEqual(found, whole)
        for data in found:
            last = events.parse_final_event(data)
            if last is not None and last.usage is not None:
                self.assertGreaterEqual(last.usage.prompt_tokens, 0)
            events.find_error(data)
            events.is_end_marker(data)

    @_SETTINGS
    @hypothesis.given(_JSON, strategies.booleans())
    @hypothesis.example({"choices": [1]}, False)
    @hypothesis.example({"choices": [{"message": {"content": 1}}]}, False)
    def test_sampled_answer(self, value: Any, is_event: bool) -> None:
        """An answer that is no completion must not end the rating of others."""
        for content in (value, {"choices": value}, {"choices": [value]}):
            text = json.dumps(content).encode()
            answer = b"data: " + text + b"\n\n" if is_event else text
            self.assertIsInstance(answers.extract_text(answer), str)

    @_SETTINGS
    @hypothesis.given(
        _JSON
        | strategies.fixed_dictionaries(
            {
                "as_of_ms": _JSON,
                "running": strategies.integers() | strategies.floats(),
                "waiting": strategies.integers() | strategies.floats(),
                "slots": _JSON,
                "versions": _JSON,
            }
        )
        | strategies.fixed_dictionaries(
            {
                "as_of_ms": strategies.integers() | strategies.floats(),
                "running": strategies.integers() | strategies.floats(),
                "waiting": strategies.integers(),
                "slots": strategies.integers(),
                "versions": strategies.lists(strategies.text(max_size=5)),
            }
        )
    )
    @hypothesis.example(
        {
            "as_of_ms": 10**400,
            "running": 10**400,
            "waiting": 0,
            "slots": 1,
            "versions": [],
        }
    )
    def test_load_report(self, value: Any) -> None:
        try:
            report = backends.LoadReport.from_mapping(value)
        except (KeyError, TypeError, ValueError):
            return  # The client turns these into a DragonflydykeError.
        for count in (report.running, report.waiting, report.slots):
            self.assertTrue(0 <= float(count) < 1e16)
        self.assertTrue(0 <= report.as_of_ms / 1_000 < 1e16)
        self.assertTrue(all(isinstance(v, str) for v in report.versions))
