"""Expectations of a trace, checked against a replay's summary.

The file is a JSON object. It maps dotted paths into the summary to objects with
`least`, `most` or both: the minimum and maximum of the value, inclusive.
"""

from collections.abc import Mapping
import dataclasses
import pathlib

import orjson


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking one expectation.

    Attributes:
        path: Dotted path of the value in the summary.
        minimum: Smallest value allowed, or None.
        maximum: Largest value allowed, or None.
        found: Value in the summary, or None if it has none.
    """

    path: str
    minimum: float | None
    maximum: float | None
    found: float | None

    @property
    def is_met(self) -> bool:
        """Whether the value exists and is within its bounds."""
        if self.found is None:
            return False
        is_above_minimum = self.minimum is None or self.found >= self.minimum
        return is_above_minimum and (
            self.maximum is None or self.found <= self.maximum
        )

    def __str__(self) -> str:
        verdict = "holds" if self.is_met else "FAILS"
        bounds = f"[{self.minimum}, {self.maximum}]"
        return f"{verdict}: {self.path} = {self.found} in {bounds}"


def check(
    expectations: Mapping[str, Mapping[str, float]],
    summary: Mapping[str, object],
) -> tuple[CheckResult, ...]:
    """Returns the result of each expectation."""
    return tuple(
        CheckResult(
            path, row.get("least"), row.get("most"), _find(summary, path)
        )
        for path, row in expectations.items()
    )


def check_file(path: pathlib.Path, summary: Mapping[str, object]) -> int:
    """Prints the result of each expectation; returns 1 if one fails, else 0."""
    results = check(orjson.loads(path.read_bytes()), summary)
    for each in results:
        print(each)
    return 0 if all(each.is_met for each in results) else 1


def _find(summary: Mapping[str, object], path: str) -> float | None:
    found: object = summary
    for name in path.split("."):
        if not isinstance(found, Mapping) or name not in found:
            return None
        found = found[name]
    return float(found) if isinstance(found, (int, float)) else None
