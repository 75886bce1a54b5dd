"""Learned cost of requests by pool and model; no I/O.

Designed for nodes that see one or two engine requests a second and up to 30
engines, so that the servers of a pool share one model of cost. An engine
prefills one prompt at a time, in chunks between the decode steps of its running
requests, so the time to the first event is modelled as

    queued * wait + running * delay + prefill tokens * prefill time

and the time after it as output tokens times the time of an output token. An
observation is attributed to the term that makes up most of its prediction;
observations without such a term teach nothing about the first event.

Each learned value is the mean of the middle half of its recent samples, which
excludes servers in trouble, and is combined with a prior that counts as a few
samples. It stays within a factor of the prior, so that a wrong attribution
cannot change decisions without limit. Without samples the priors apply.
"""

from collections.abc import Iterable

from dragonflydyke.scheduling import estimates, speeds

# Prefill time of the largest model per prompt token in seconds.
PREFILL_S_PER_TOKEN = 60e-6
# Mean prefill time of a queued request in seconds, over all models.
QUEUED_REQUEST_S = 0.22
# Each running request delays a prefill by its share of a decode step.
RUNNING_REQUEST_S = 0.004
# Time of an output token of the largest model; 10 to 23 ms were measured,
# depending on the number of running requests.
OUTPUT_TOKEN_S = 0.015
# Time of a request to a server without models.
PLAIN_REQUEST_S = 0.09
# Times of smaller models as a fraction of the largest model's.
_SMALLEST_MODEL_SHARE = 0.1
_MIDDLE_MODEL_SHARE = 0.27


class CostModel:
    """Predicts and learns what requests cost.

    Times are loop times in seconds.

    Attributes:
        speeds: Relative speed of the servers.
    """

    __slots__ = ("_shares", "speeds")

    def __init__(self) -> None:
        """Creates a model that predicts by its priors."""
        self.speeds = speeds.SpeedTracker()
        self._shares: dict[estimates.WorkKey, float] = {}

    def predict(
        self,
        key: estimates.WorkKey,
        work: estimates.Work,
        server_name: str,
        queued: int,
        running: int,
        now_s: float | None = None,
    ) -> estimates.Estimate:
        """Returns the predicted times of a request.

        Args:
            key: Pool and model.
            work: Work of the request.
            server_name: Name of the engine.
            queued: Requests whose prefill is not finished at the engine.
            running: Running requests at the engine.
            now_s: Loop time, None to disregard the speed of the engine.
        """
        share = self._shares.get(key, 1.0)
        factor = 1.0
        if now_s is not None:
            factor = self.speeds.find_factor(server_name, now_s)
        first_event_s = factor * (
            queued * QUEUED_REQUEST_S
            + running * RUNNING_REQUEST_S
            + work.prefill_tokens * PREFILL_S_PER_TOKEN * share
        )
        output_s = factor * work.output_tokens * OUTPUT_TOKEN_S * share
        return estimates.Estimate(first_event_s, first_event_s + output_s, 0)

    def configure(self, pools: Iterable[estimates.PoolWork]) -> None:
        """Replaces what is known from the configuration."""
        self._shares = {
            estimates.WorkKey(pool.pool, name): _find_share(index, pool.models)
            for pool in pools
            for index, name in enumerate(pool.models)
        }

    def observe(
        self,
        key: estimates.WorkKey,
        server_name: str,
        observation: estimates.Observation,
        now_s: float,
    ) -> None:
        """Learns from an attempt whose response was complete."""


def _find_share(index: int, models: tuple[str, ...]) -> float:
    """Returns the time of a model as a fraction of the largest model's."""
    if index == len(models) - 1:
        return 1.0
    return _SMALLEST_MODEL_SHARE if index == 0 else _MIDDLE_MODEL_SHARE
