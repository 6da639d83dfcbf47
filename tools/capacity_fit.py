"""Straight lines through measured points, for the capacity page."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Line:
    """A least-squares line.

    Attributes:
        intercept: Value at zero.
        slope: Increase per unit of the measured size.
    """

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line to measured values.

    Args:
        sizes: Measured sizes, at least two of which must differ.
        values: Value measured at each size.

    Raises:
        ValueError: If the points don't determine a line.
    """
    if len(sizes) != len(values) or len(set(sizes)) < 2:
        raise ValueError(
            "expected two different sizes at least, and a value for each"
        )
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    variance_sum = sum((size - mean_size) ** 2 for size in sizes)
    covariance_sum = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = covariance_sum / variance_sum
    return Line(mean_value - slope * mean_size, slope)
