"""What a process may use of its machine."""

import attrs


@attrs.frozen
class MachineLimits:
    """Limits of a process.

    Attributes:
        memory_mb: Memory in MB.
        descriptors: Number of file descriptors.
    """

    memory_mb: float = 256.0
    descriptors: int = 4_096
