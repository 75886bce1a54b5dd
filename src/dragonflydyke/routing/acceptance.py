"""Share of the responses of cascade stages that pass the quality check."""

from dragonflydyke.configuration import model

_SMOOTHING = 0.05
# Starting at a stage below the quality target adds latency, so it must save at
# least this share of the cost.
_MIN_SAVING = 0.1


class AcceptanceRates:
    """Tracks, per request class and version, how often responses pass.

    The rates are exponential moving averages.
    """

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}

    def record(self, request_class: str, version: str, accepted: bool) -> None:
        """Records the result of a quality check.

        Args:
            request_class: Class of the request.
            version: `model@version` that generated the response.
            accepted: Whether the response passed the check.
        """
        key = (request_class, version)
        previous = self._rates.get(key, 1.0)
        self._rates[key] = previous + _SMOOTHING * (accepted - previous)

    def saves_cost(
        self,
        request_class: str,
        version: str,
        price: model.Price,
        next_price: model.Price,
    ) -> bool:
        """Returns whether trying a cheaper stage first lowers the mean cost.

        A version without samples is tried. Each call that returns False raises
        the rate slightly, so that a version is tried again from time to time.

        Args:
            request_class: Class of the request.
            version: `model@version` of the cheaper stage.
            price: Price of the cheaper stage.
            next_price: Price of the stage that follows it.
        """
        key = (request_class, version)
        rate = self._rates.get(key, 1.0)
        price_ratio = _unit_price(price) / max(1, _unit_price(next_price))
        if price_ratio + (1.0 - rate) <= 1.0 - _MIN_SAVING:
            return True
        self._rates[key] = rate + (1.0 - rate) * _SMOOTHING / 20
        return False


def _unit_price(price: model.Price) -> int:
    return price.prompt + price.completion
