"""Tests of what the rating service is told about a response."""

import asyncio
import json
import unittest

from dragonflydyke import metrics
from dragonflydyke.configuration import model
from dragonflydyke.gateway import services
from dragonflydyke.rollouts import counts, ratings
from dragonflydyke.router import checks

_BODY = json.dumps(
    {"choices": [{"message": {"content": "three crates"}}]}
).encode()
_ROLL_OUT = model.Rollout(
    name="planner-v2",
    model="planner-small",
    from_version="v1",
    to_version="v2",
    steps=(model.RolloutStep(0.5, 60.0),),
    stop=model.StopCondition(
        min_samples=20, min_rating=0.8, max_error_share=0.1
    ),
)


class _RecordingClient:
    """Rates all responses equally and records what it was told."""

    def __init__(self) -> None:
        self.rated: list[tuple[str, str]] = []

    async def rate(self, version: str, text: str) -> float:
        self.rated.append((version, text))
        return 0.9


class VersionNameTest(unittest.IsolatedAsyncioTestCase):
    """Guards against two names of a version, rated apart by the service.

    Versions of different models may have the same name.
    """

    async def test_check_and_sampler_name_the_version_alike(self) -> None:
        client = _RecordingClient()
        counters = metrics.Counters()
        await checks.RatingCheck(client, counters).accept(
            services.CandidateResponse(
                client_account="acme",
                request_class=model.RequestClass("question", 0.5, 5.0),
                model=_ROLL_OUT.model,
                version=_ROLL_OUT.to_version,
                request=b"{}",
                response=_BODY,
                meets_quality_target=True,
            )
        )
        version_counts = counts.VersionCounts()
        sampler = ratings.RatingSampler(client, version_counts, counters)
        sampler.start()
        sampler.offer(_ROLL_OUT, _BODY)
        while len(client.rated) < 2:
            await asyncio.sleep(0)
        await sampler.stop()
        self.assertEqual(
            client.rated, [("planner-small@v2", "three crates")] * 2
        )
        (count,) = version_counts.list_counts()
        self.assertEqual(
            (count.roll_out, count.version, count.rating_sum_milli),
            ("planner-v2", "v2", 900),
        )
