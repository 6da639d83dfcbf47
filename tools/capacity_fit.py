"""Straight lines through measured points, for the capacity page."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Line:
    """A least-squares line.

    Attributes:
        intercept: Value at zero.
        slope: Rise for each unit of the measured size.
    """

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line to measured values.

    Args:
        sizes: Measured sizes, of which at least two must differ.
        values: The value measured at each size.

    Raises:
        ValueError: The points determine no line.
    """
    if len(sizes) != len(values) or len(set(sizes)) < 2:
        raise ValueError("measure at two different sizes at least")
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    common = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = common / spread
    return Line(mean_value - slope * mean_size, slope)
