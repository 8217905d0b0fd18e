"""A validation error in a settings tree."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Problem:
    """A validation error, described for operators.

    Attributes:
        path: Branch and key, such as `signal/repairs: time_limit_ms`.
        expected: What would be valid.
        found: What was found instead.
    """

    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}, found {self.found}"
