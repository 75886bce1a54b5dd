"""Linear regression of measured points."""

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(slots=True, frozen=True)
class Fit:
    """Least-squares line `y = intercept + slope * x`.

    Attributes:
        slope: Increase of y per unit of x.
        intercept: Value of y at x = 0.
        residual: Root mean square of the residuals, in the unit of y.
        points: Measured points as pairs of x and y.
    """

    slope: float
    intercept: float
    residual: float
    points: tuple[tuple[float, float], ...]

    def predict(self, x: float) -> float:
        """Returns the y of the line at x."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Returns the least-squares line of the points.

    Raises:
        statistics.StatisticsError: If there are fewer than two points or all
            have the same x.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    return Fit(
        slope, intercept, statistics.fmean(squares) ** 0.5, tuple(points)
    )
