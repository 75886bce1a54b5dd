"""Headers in which backend servers speak of themselves."""

import math
from collections.abc import Mapping

from dragonflydyke import logs

# Present in all responses of a server that accepts no further requests.
LEAVING_HEADER = "Server-Leaving"
# In a rejection, the seconds for which the server wants no requests.
PAUSE_HEADER = "Retry-After"
_UNAVAILABLE = 503
_MAX_LOGGED = 40

_LOGGER = logs.get_logger("backends")


def says_leaving(headers: Mapping[str, str]) -> bool:
    """Returns whether a server says that it accepts no further requests."""
    return headers.get(LEAVING_HEADER, "").strip() == "1"


def find_pause_s(status: int, headers: Mapping[str, str]) -> float | None:
    """Returns the seconds of the pause that a rejection asks for, or None."""
    text = headers.get(PAUSE_HEADER)
    if status != _UNAVAILABLE or text is None:
        return None
    pause_s = parse_quantity(text)
    if pause_s is None:
        _LOGGER.info(
            "pause of a server cannot be read", value=text[:_MAX_LOGGED]
        )
    return pause_s


def parse_quantity(text: str) -> float | None:
    """Returns a number, None if the text is not a finite one of 0 or more."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
