"""Acceptance check of cascade responses by the rating service."""

from dragonflydyke import metrics
from dragonflydyke.configuration import model
from dragonflydyke.gateway import services
from dragonflydyke.rollouts import completions, ratings


class RatingCheck:
    """Accepts responses whose rating reaches the quality target."""

    __slots__ = ("_client", "_counters")

    def __init__(
        self, client: ratings.RatingClient, counters: metrics.Counters
    ) -> None:
        self._client = client
        self._counters = counters

    async def accept(self, candidate: services.CandidateResponse) -> bool:
        """Returns whether the response is good enough.

        If there is no rating, decides by the configured quality of the version.

        Args:
            candidate: Response of a stage of the cascade.
        """
        version = model.version_id(candidate.model, candidate.version)
        text = completions.extract_text(candidate.response)
        rating = await self._client.rate(version, text)
        if rating is None:
            self._counters.increment("cascade.unrated")
            return candidate.meets_quality_target
        return rating >= candidate.request_class.quality_target
