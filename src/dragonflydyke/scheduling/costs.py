"""Learned cost of requests by pool and model; no I/O.

Designed for nodes that see one or two engine requests a second and up to 30
engines, so that the servers of a pool share one model of cost. An engine
prefills one prompt at a time, in chunks between the decode steps of its running
requests, so the time to the first event is modelled as

    queued * wait + running * delay + prefill tokens * prefill time

and the time after it as output tokens times the time of an output token. An
observation is attributed to the term that makes up most of its prediction;
observations without such a term teach nothing about the first event.

Learned values are combined with priors and stay within a factor of them, so
that a wrong attribution cannot change decisions without limit. Without samples
the priors apply.
"""

import dataclasses
from collections.abc import Collection, Iterable

from dragonflydyke.scheduling import estimates, samples, speeds

# Prefill time of the largest model per prompt token in seconds. Engines of 49
# to 80 microseconds are known; twice that range is allowed.
_PREFILL = samples.Prior(60e-6, 0.5, 2.5)
# Mean prefill time of a queued request in seconds, over all models. It depends
# on the mix of models and on the sizes of prompts, which differ more.
_QUEUED_REQUEST = samples.Prior(0.22, 0.25, 3.0)
# Each running request delays a prefill by its share of a decode step, which
# depends on the chunks of a prefill that run between two steps.
_RUNNING_REQUEST = samples.Prior(0.004, 0.25, 4.0)
# Time of an output token of the largest model; 10 to 23 ms were measured,
# depending on the number of running requests.
_OUTPUT_TOKEN = samples.Prior(0.015, 0.25, 4.0)
# Time of a request to a server without models.
_PLAIN_REQUEST = samples.Prior(0.09, 0.25, 4.0)
# Costs by which servers are selected, over all models. They follow the learned
# values in proportion and not as such: the time of an output token is that of
# a step of the whole batch, to which one request adds little. They stay within
# a factor of two, as a prefix that is spread over more servers takes cache from
# others, and one that is kept on too few overloads them.
_SELECTION_PREFILL = samples.Prior(1 / 20_000.0, 0.5, 2.0)
_SELECTION_OUTPUT_TOKEN = samples.Prior(40.0 / 20_000.0, 0.5, 2.0)

# Times of smaller models as a fraction of the largest model's.
_SMALLEST_MODEL_SHARE = 0.1
_MIDDLE_MODEL_SHARE = 0.27
# A term teaches only if it makes up this share of the prediction, because the
# errors of the other terms are attributed to it as well.
_MIN_TERM_SHARE = 0.6
# A prefill teaches only if at most this share of the prompt may be cached: the
# node does not learn whether it was.
_MAX_CACHED_SHARE = 0.3
# Short prompts take less time than the network.
_MIN_PREFILL_TOKENS = 1_000
# A few gaps are dominated by the events that a server sends together.
_MIN_EVENTS = 5
# Samples from which on the usual speed of a pool is known well enough to
# compare its servers.
_MIN_USUAL_SAMPLES = 8
# Samples from which on the output length of a route bounds the hints of
# clients.
_MIN_OUTPUT_SAMPLES = 8
# Hints may differ from the usual output of their route by this factor. A hint
# is accurate at the median, but a hostile one can claim anything.
_MAX_HINT_FACTOR = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class TokenCosts:
    """Costs of a request by which its server is selected.

    Attributes:
        prefill_s: Seconds per prompt token.
        output_s: Seconds per output token.
        plain_s: Seconds of a request to a server without models.
        learned_share: Weight of samples in them, 0..1; 0 if all are priors.
    """

    prefill_s: float = _SELECTION_PREFILL.value
    output_s: float = _SELECTION_OUTPUT_TOKEN.value
    plain_s: float = _PLAIN_REQUEST.value
    learned_share: float = 0.0

    def find_service_time_s(
        self, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Returns the time of a request at an engine.

        The order of the operations makes equal work give equal times, so that
        ties of servers are not decided by rounding.
        """
        tokens = prompt_tokens + output_tokens * (
            self.output_s / self.prefill_s
        )
        return tokens / (1 / self.prefill_s)


class _PoolCosts:
    """Learned costs of one model of a pool."""

    __slots__ = ("output_token", "prefill", "queued", "running")

    def __init__(self) -> None:
        self.prefill = samples.LearnedValue()
        self.queued = samples.LearnedValue()
        self.running = samples.LearnedValue()
        self.output_token = samples.LearnedValue()

    def count(self, now_s: float | None) -> int:
        """Returns the number of samples of all values."""
        return (
            self.prefill.count(now_s)
            + self.queued.count(now_s)
            + self.running.count(now_s)
            + self.output_token.count(now_s)
        )


@dataclasses.dataclass(slots=True, frozen=True)
class _Model:
    """A model of a pool.

    Attributes:
        index: Position among the models, smallest first.
        share: Its times as a fraction of the largest model's.
        tokens_per_event: Output tokens in one event, 0 if not configured.
        costs: What was learned.
        largest: What was learned of the largest model of the pool.
    """

    index: int
    share: float
    tokens_per_event: int
    costs: _PoolCosts
    largest: _PoolCosts


@dataclasses.dataclass(slots=True, frozen=True)
class _Terms:
    """Parts of the time to the first event at the usual speed, in seconds."""

    queued_s: float
    running_s: float
    prefill_s: float

    @property
    def total_s(self) -> float:
        """Time to the first event."""
        return self.queued_s + self.running_s + self.prefill_s


_UNKNOWN_MODEL = _Model(-1, 1.0, 0, _PoolCosts(), _PoolCosts())


class CostModel:
    """Predicts and learns what requests cost.

    Only models and routes of the configuration are learned, which bounds the
    tables: clients can name any model. Times are loop times in seconds.

    Attributes:
        speeds: Relative speed of the servers.
    """

    __slots__ = ("_models", "_outputs", "_plain", "speeds")

    def __init__(self) -> None:
        """Creates a model that predicts by its priors."""
        self.speeds = speeds.SpeedTracker()
        self._models: dict[estimates.WorkKey, _Model] = {}
        self._outputs: dict[str, samples.LearnedValue] = {}
        self._plain: dict[str, samples.LearnedValue] = {}

    def configure(
        self, pools: Iterable[estimates.PoolWork], routes: Collection[str]
    ) -> None:
        """Applies a configuration; keeps what was learned of what remains.

        Args:
            pools: Pools with engines.
            routes: Names of the routes.
        """
        previous = self._models
        self._models = {}
        for pool in pools:
            found = {}
            for name in pool.models:
                key = estimates.WorkKey(pool.pool, name)
                known = previous.get(key)
                found[key] = known.costs if known else _PoolCosts()
            for index, (key, costs) in enumerate(found.items()):
                self._models[key] = _Model(
                    index,
                    _find_share(index, pool.models),
                    pool.tokens_per_event,
                    costs,
                    found[estimates.WorkKey(pool.pool, pool.models[-1])],
                )
        for values in (self._outputs, self._plain):
            for name in values.keys() - set(routes):
                del values[name]
            for name in routes:
                values.setdefault(name, samples.LearnedValue())

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
            now_s: Loop time, None to use samples of all ages and to disregard
                the speed of the engine.
        """
        model = self._find_model(key)
        factor = 1.0
        if now_s is not None:
            factor = self.speeds.find_factor(server_name, now_s)
        terms = _predict_terms(
            model, work.prefill_tokens, queued, running, now_s
        )
        first_event_s = factor * terms.total_s
        token_s = _resolve_output_token_s(model, now_s)
        return estimates.Estimate(
            factor * (terms.queued_s + terms.running_s),
            first_event_s,
            first_event_s + factor * work.output_tokens * token_s,
            model.costs.count(now_s),
        )

    def find_model_index(self, key: estimates.WorkKey) -> int | None:
        """Returns the position of a model, smallest first, None if unknown."""
        index = self._find_model(key).index
        return index if index >= 0 else None

    def find_queued_request_s(
        self, key: estimates.WorkKey, now_s: float | None = None
    ) -> float:
        """Returns the wait that each queued request of an engine causes."""
        costs = self._find_model(key).costs
        return costs.queued.resolve(_QUEUED_REQUEST, now_s)

    def find_event_gap_s(
        self, key: estimates.WorkKey, now_s: float | None = None
    ) -> float:
        """Returns the usual time between two events of a stream."""
        model = self._find_model(key)
        token_s = _resolve_output_token_s(model, now_s)
        return token_s * max(1, model.tokens_per_event)

    def find_token_costs(
        self, key: estimates.WorkKey, route: str, now_s: float
    ) -> TokenCosts:
        """Returns the costs by which the server of a request is selected.

        Args:
            key: Pool and model.
            route: Name of the route, which determines the time of a request to
                a server without models.
            now_s: Loop time.
        """
        model = self._find_model(key)
        if model is not _UNKNOWN_MODEL:
            prefill_s = _resolve_prefill_s(model, now_s)
            token_s = _resolve_output_token_s(model, now_s)
            return TokenCosts(
                prefill_s=_SELECTION_PREFILL.apply(
                    prefill_s / (_PREFILL.value * model.share)
                ),
                output_s=_SELECTION_OUTPUT_TOKEN.apply(
                    token_s / (_OUTPUT_TOKEN.value * model.share)
                ),
                learned_share=model.costs.output_token.find_weight(now_s),
            )
        plain = self._plain.get(route)
        if plain is None:
            return TokenCosts()
        return TokenCosts(
            plain_s=plain.resolve(_PLAIN_REQUEST, now_s),
            learned_share=plain.find_weight(now_s),
        )

    def expect_output_tokens(
        self, route: str, hint: int, maximum: int, now_s: float
    ) -> int:
        """Returns the output tokens that a request is expected to have.

        Args:
            route: Name of the route.
            hint: Output tokens that the client expects, 0 if unknown.
            maximum: Maximum number of output tokens, 0 if unknown.
            now_s: Loop time.
        """
        expected = float(hint if hint > 0 else maximum)
        learned = self._outputs.get(route)
        usual = None
        if learned and learned.count(now_s) >= _MIN_OUTPUT_SAMPLES:
            usual = learned.find_mean(now_s)
        if usual is not None:
            bounded = max(usual / _MAX_HINT_FACTOR, expected)
            bounded = min(usual * _MAX_HINT_FACTOR, bounded)
            expected = bounded if hint > 0 else usual
        if maximum > 0:
            expected = min(expected, float(maximum))
        return round(expected)

    def observe(
        self,
        key: estimates.WorkKey,
        server_name: str,
        observation: estimates.Observation,
        now_s: float,
    ) -> int:
        """Learns from an attempt at a server that was not in trouble.

        Returns:
            The number of samples that were added.
        """
        model = self._find_model(key)
        if not model.tokens_per_event:
            return 0
        added = self._observe_gap(model, server_name, observation, now_s)
        return added + self._observe_first_event(
            model, server_name, observation, now_s
        )

    def observe_output(
        self, route: str, server_name: str, tokens: int, now_s: float
    ) -> None:
        """Learns the output length of a route from a complete response."""
        learned = self._outputs.get(route)
        if learned is not None:
            learned.add(server_name, tokens, now_s)

    def observe_plain(
        self, route: str, server_name: str, took_s: float, now_s: float
    ) -> int:
        """Learns the time of a request to a server without models.

        Returns:
            The number of samples that were added.
        """
        learned = self._plain.get(route)
        if learned is None:
            return 0
        if learned.count(now_s) >= _MIN_USUAL_SAMPLES:
            usual_s = learned.resolve(_PLAIN_REQUEST, now_s)
            self.speeds.observe(server_name, took_s / usual_s, now_s)
        return int(learned.add(server_name, took_s, now_s))

    def _find_model(self, key: estimates.WorkKey) -> _Model:
        return self._models.get(key, _UNKNOWN_MODEL)

    def _observe_gap(
        self,
        model: _Model,
        server_name: str,
        observation: estimates.Observation,
        now_s: float,
    ) -> int:
        gap_s = observation.event_gap_s
        if gap_s is None or observation.events < _MIN_EVENTS:
            return 0
        token_s = gap_s / model.tokens_per_event
        learned = model.costs.output_token
        if learned.count(now_s) >= _MIN_USUAL_SAMPLES:
            usual_s = _resolve_output_token_s(model, now_s)
            self.speeds.observe(server_name, token_s / usual_s, now_s)
        return int(learned.add(server_name, token_s, now_s))

    def _observe_first_event(
        self,
        model: _Model,
        server_name: str,
        observation: estimates.Observation,
        now_s: float,
    ) -> int:
        queued, running = observation.queued, observation.running
        if queued is None or running is None:
            # Without a report, the wait cannot be told from the prefill.
            return 0
        if observation.first_event_s is None:
            return 0
        tokens = max(0, observation.prompt_tokens - observation.cached_tokens)
        terms = _predict_terms(model, tokens, queued, running, now_s)
        # A server's own speed explains part of the difference.
        factor = self.speeds.find_factor(server_name, now_s)
        took_s = observation.first_event_s / factor
        rest_s = took_s - terms.total_s
        least_s = terms.total_s * _MIN_TERM_SHARE
        costs = model.costs
        if terms.prefill_s >= least_s and _is_uncached(observation, tokens):
            value = (terms.prefill_s + rest_s) / tokens
            return int(costs.prefill.add(server_name, value, now_s))
        if queued and terms.queued_s >= least_s:
            value = (terms.queued_s + rest_s) / queued
            return int(costs.queued.add(server_name, value, now_s))
        if running and terms.running_s >= least_s:
            value = (terms.running_s + rest_s) / running
            return int(costs.running.add(server_name, value, now_s))
        return 0


def _find_share(index: int, models: tuple[str, ...]) -> float:
    """Returns the time of a model as a fraction of the largest model's."""
    if index == len(models) - 1:
        return 1.0
    return _SMALLEST_MODEL_SHARE if index == 0 else _MIDDLE_MODEL_SHARE


def _predict_terms(
    model: _Model,
    prefill_tokens: int,
    queued: int,
    running: int,
    now_s: float | None,
) -> _Terms:
    costs = model.costs
    return _Terms(
        queued * costs.queued.resolve(_QUEUED_REQUEST, now_s),
        running * costs.running.resolve(_RUNNING_REQUEST, now_s),
        prefill_tokens * _resolve_prefill_s(model, now_s),
    )


def _resolve_prefill_s(model: _Model, now_s: float | None) -> float:
    """Returns the seconds per prompt token.

    Requests to smaller models are sent without reading a load report, so that
    their prefill cannot be told from their wait. The ratio of the models is
    known better.
    """
    if model.costs.prefill.count(now_s):
        return model.costs.prefill.resolve(_PREFILL.scale(model.share), now_s)
    return model.largest.prefill.resolve(_PREFILL, now_s) * model.share


def _resolve_output_token_s(model: _Model, now_s: float | None) -> float:
    return model.costs.output_token.resolve(
        _OUTPUT_TOKEN.scale(model.share), now_s
    )


def _is_uncached(observation: estimates.Observation, tokens: int) -> bool:
    """Returns whether nearly all of a long prompt was prefilled."""
    cached_limit = observation.prompt_tokens * _MAX_CACHED_SHARE
    is_short = tokens < _MIN_PREFILL_TOKENS
    return not is_short and observation.cached_tokens <= cached_limit
