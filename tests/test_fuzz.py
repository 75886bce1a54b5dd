"""Property-based tests of parsers for data from outside the process."""

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
from dragonflydyke.rollouts import completions
from tests.builders import documents, fleet
from tests.builders import objects as memory

_JSON_VALUES = strategies.recursive(
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
_HYPOTHESIS_SETTINGS = hypothesis.settings(
    deadline=None,  # Slow examples on a busy machine must not fail a test.
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
_SCALAR_STRATEGIES = {
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
    | _JSON_VALUES.map(lambda value: json.dumps(value).encode()),
}


def _message_strategy(kind: Any) -> strategies.SearchStrategy[Any]:
    """Returns a strategy for messages of a protobuf class."""
    fields = {
        field.name: _field_strategy(field) for field in kind.DESCRIPTOR.fields
    }
    return strategies.fixed_dictionaries({}, optional=fields).map(
        lambda values: kind(**values)
    )


def _field_strategy(
    field: descriptor.FieldDescriptor,
) -> strategies.SearchStrategy[Any]:
    if field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
        single = _message_strategy(getattr(node_pb2, field.message_type.name))
    else:
        single = _SCALAR_STRATEGIES[field.type]
    if field.is_repeated:
        return strategies.lists(single, max_size=3)
    return single


class _FixedStatePeer:
    """A peer that returns the same state bundle for each fetch."""

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
        """Does nothing, since there is no connection."""


class NodeMessageTest(unittest.TestCase):
    """Guards against messages that crash a router or revert its state."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(
        strategies.lists(
            _message_strategy(node_pb2.NodeReport)
            | _message_strategy(node_pb2.ChangeAnnouncement)
            | _message_strategy(node_pb2.FetchStateRequest),
            min_size=1,
            max_size=4,
        ),
        _message_strategy(node_pb2.StateBundle),
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
    def test_arbitrary_messages_do_not_revert_state(
        self, messages: list[Any], bundle: node_pb2.StateBundle
    ) -> None:
        """Guards against handlers that fail on arbitrary field values.

        Also guards against a peer's state bundle that replaces newer state.
        """
        asyncio.run(self._exchange_messages(messages, bundle))

    async def _exchange_messages(
        self, messages: list[Any], bundle: node_pb2.StateBundle
    ) -> None:
        counters = metrics.Counters()
        membership = node.Membership(
            node.MembershipSettings("vm-0", "cartago-a", "vm-0:1"),
            memory.InMemoryObjectStore(),
            lambda address: _FixedStatePeer(bundle),
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
        membership.peer_tracker.set_vms(objects.VmList(1, listed))
        config = {"revision": 3, "document": {}}
        membership.state.adopt(
            [objects.StoredObject("control", "config", 5, config)], 5
        )
        for message in messages:
            if isinstance(message, node_pb2.NodeReport):
                # Without an echo of this incarnation, the age of the report
                # is unknown and it is not counted as received.
                message.echo_incarnation = membership.identity.incarnation
                message.echo_held_ms = 2**63
                answer = await membership.exchange(message)
            elif isinstance(message, node_pb2.ChangeAnnouncement):
                answer = await membership.announce_change(message)
            else:
                answer = await membership.fetch_state(message)
            answer.SerializeToString()
            membership.permit.is_granted()
        await membership.peer_exchange.fetch("vm-1:1")
        await membership.exchange(node_pb2.NodeReport(vm="vm-2"))
        self.assertGreaterEqual(membership.state.revision, 3)
        self.assertGreaterEqual(membership.state.control_version, 5)
        self.assertIsNotNone(membership.state.current)
        await membership.peer_exchange.close()
        self.assertEqual(counters.total("exchange.fault"), 0)


class ConfigurationTest(unittest.TestCase):
    """Guards against documents that crash the router that validates them."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_JSON_VALUES)
    def test_arbitrary_value_is_parsed_or_rejected(self, value: Any) -> None:
        """Guards against any exception other than a DragonflydykeError."""
        self._check_parse(value)

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.data())
    def test_mutated_document_is_parsed_or_rejected(
        self, data: strategies.DataObject
    ) -> None:
        """Replaces up to three values of a valid document by arbitrary ones.

        Guards against checks that assume valid types elsewhere in the
        document.
        """
        mapping = configuration.to_mapping(documents.build_document())
        mapping = json.loads(json.dumps(mapping))
        for _ in range(data.draw(strategies.integers(1, 3))):
            self._replace_random_value(mapping, data)
        self._check_parse(mapping)

    def _replace_random_value(
        self, mapping: Any, data: strategies.DataObject
    ) -> None:
        container = mapping
        while True:
            keys = (
                list(container)
                if isinstance(container, dict)
                else range(len(container))
            )
            key = data.draw(strategies.sampled_from(list(keys)))
            inner = container[key]
            is_leaf = not isinstance(inner, dict | list) or not inner
            if is_leaf or data.draw(strategies.booleans()):
                container[key] = data.draw(_JSON_VALUES)
                return
            container = inner

    def _check_parse(self, value: Any) -> None:
        """Checks that an accepted document survives a round trip."""
        try:
            document = configuration.parse(copy.deepcopy(value))
        except errors.DragonflydykeError:
            return
        parsed_again = configuration.parse(configuration.to_mapping(document))
        self.assertEqual(document, parsed_again)


class EngineResponseTest(unittest.TestCase):
    """Guards against engine responses that crash the routers reading them."""

    @_HYPOTHESIS_SETTINGS
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
    def test_event_stream_is_split_independently_of_chunks(
        self, chunks: list[bytes]
    ) -> None:
        """Guards against events that depend on the chunk boundaries.

        Also guards against parsers that raise on invalid events.
        """
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

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_JSON_VALUES, strategies.booleans())
    @hypothesis.example({"choices": [1]}, False)
    @hypothesis.example({"choices": [{"message": {"content": 1}}]}, False)
    def test_text_is_extracted_from_any_response(
        self, value: Any, is_event: bool
    ) -> None:
        """Guards against a response that stops the rating of later ones.

        Responses that are not chat completions must not raise an error.
        """
        for content in (value, {"choices": value}, {"choices": [value]}):
            text = json.dumps(content).encode()
            answer = b"data: " + text + b"\n\n" if is_event else text
            self.assertIsInstance(completions.extract_text(answer), str)

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(
        _JSON_VALUES
        | strategies.fixed_dictionaries(
            {
                "as_of_ms": _JSON_VALUES,
                "running": strategies.integers() | strategies.floats(),
                "waiting": strategies.integers() | strategies.floats(),
                "slots": _JSON_VALUES,
                "versions": _JSON_VALUES,
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
    def test_accepted_load_report_has_finite_numbers(self, value: Any) -> None:
        """Guards against counts and times too large to compute with."""
        try:
            report = backends.LoadReport.from_mapping(value)
        except (KeyError, TypeError, ValueError):
            return  # The backend client raises a DragonflydykeError instead.
        for count in (report.running, report.waiting, report.slots):
            self.assertTrue(0 <= float(count) < 1e16)
        self.assertTrue(0 <= report.as_of_ms / 1_000 < 1e16)
        self.assertTrue(all(isinstance(v, str) for v in report.versions))
