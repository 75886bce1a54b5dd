"""Share of answers of cascade stages that pass the check."""

from dragonflydyke.configuration import model

_SMOOTHING = 0.05
# Starting below the target adds latency, so it must save at least this share.
_MIN_SAVING = 0.1


class AcceptanceRates:
    """Learns, per class and version, how often answers are accepted."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}

    def record(self, request_class: str, version: str, accepted: bool) -> None:
        """Records the check of an answer.

        Args:
            request_class: Class of the request.
            version: `model@version` that answered.
            accepted: Whether the answer passed.
        """
        key = (request_class, version)
        before = self._rates.get(key, 1.0)
        self._rates[key] = before + _SMOOTHING * (accepted - before)

    def saves_cost(
        self,
        request_class: str,
        version: str,
        price: model.Price,
        next_price: model.Price,
    ) -> bool:
        """Returns whether a stage before another one lowers the cost.

        A version without samples is tried. The rate of one that is no longer
        tried rises slowly, so that it is tried again from time to time.
        """
        key = (request_class, version)
        rate = self._rates.get(key, 1.0)
        share = _unit_price(price) / max(1, _unit_price(next_price))
        if share + (1.0 - rate) <= 1.0 - _MIN_SAVING:
            return True
        self._rates[key] = rate + (1.0 - rate) * _SMOOTHING / 20
        return False


def _unit_price(price: model.Price) -> int:
    return price.prompt + price.completion
