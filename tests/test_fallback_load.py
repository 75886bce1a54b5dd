"""Replays bursts against the decisions on fallback answers, without I/O."""

import os
import unittest

from tests.builders import urgent_queues

_SEED = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
_ENGINES = 12
_DURATION_S = 30.0
_GAP_S = 0.064


def _replay(*kinds: urgent_queues.Kind) -> list[list[urgent_queues.Request]]:
    """Returns the requests of each kind, from the shortest to the longest."""
    requests = urgent_queues.build_requests(kinds, _DURATION_S, _GAP_S, _SEED)
    urgent_queues.Replay(_ENGINES, _GAP_S, _SEED).run(requests)
    requests.sort(key=lambda request: request.profile.prompt_tokens)
    return [[r for r in requests if r.kind is kind] for kind in kinds]


def _share(requests: list[urgent_queues.Request], outcome: str) -> float:
    return sum(r.outcome == outcome for r in requests) / len(requests)


class BurstTest(unittest.TestCase):
    """Guards against kinds and sizes of requests that starve in a burst."""

    def test_burst_of_the_largest_kind_leaves_none_without_response(
        self,
    ) -> None:
        """165 of 909 failed, nearly all at their deadline."""
        kind = urgent_queues.Kind(30.0, 12_000, 30, 2.5, 12.0)
        (requests,) = _replay(kind)
        count = len(requests)
        for part in (requests, requests[-count // 10 :]):
            self.assertLess(_share(part, "cut"), 0.05)
        self.assertGreater(_share(requests, "largest"), 0.5)

    def test_long_prompts_are_not_overtaken_for_good(self) -> None:
        """Ranked by size, 13 to 18 in 100 of the longest tenth were served."""
        (requests,) = _replay(urgent_queues.Kind(22.0, 12_000, 30, 6.0, 12.0))
        count = len(requests)
        share = _share(requests, "largest")
        for part in (
            requests[-count // 10 :],
            requests[-3 * count // 10 : -count // 10],
        ):
            self.assertGreater(_share(part, "largest"), share / 2)

    def test_answers_of_96_events_with_an_even_chance_are_begun(self) -> None:
        (requests,) = _replay(urgent_queues.Kind(8.0, 4_000, 96, 2.5, 8.0))
        self.assertGreater(_share(requests, "largest"), 0.6)
        self.assertLess(_share(requests, "fallback"), 0.05)

    def test_answers_of_96_events_that_cannot_finish_are_replaced(self) -> None:
        """Requests were still streaming when their deadline passed."""
        (requests,) = _replay(urgent_queues.Kind(8.0, 4_000, 96, 2.5, 5.0))
        self.assertEqual(_share(requests, "cut"), 0.0)

    def test_tight_kind_is_served_like_a_loose_one(self) -> None:
        """The loose kind filled the queues, and 4 in 100 of the other ran."""
        tight, loose = _replay(
            urgent_queues.Kind(30.0, 5_000, 25, 1.0, 5.0),
            urgent_queues.Kind(30.0, 9_000, 25, 6.0, 20.0),
        )
        self.assertGreater(
            _share(tight, "largest"), _share(loose, "largest") - 0.05
        )
