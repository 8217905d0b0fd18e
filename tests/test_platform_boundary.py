"""The users' platform stands behind one folder."""

import pathlib
import re
import unittest

_SOURCES = pathlib.Path(__file__).parent.parent / "src" / "ruddergate"
_PLATFORM = _SOURCES / "platform"
# Names that only the platform uses.
_NAMES = re.compile(
    r"X-Attempt|X-Replica|X-Not-Executed|X-Expect|X-Token-Usage|X-Prefix-Hash"
    r"|X-Tenant|X-Deadline-Ms|X-Api-Key|kv-watch|kv-range|kv-key|op/config"
    r"|config-version|traffic-split|route-type|kv-capacity|api-keys"
    r"|max-attempts|target-latency-ms|path-prefix|RUDDERGATE_BOOT",
    re.IGNORECASE,
)
# The platform folder only translates: it stays this small a part.
_PART_MAX = 0.08


def _count_lines(root: pathlib.Path) -> int:
    return sum(
        len(path.read_text().splitlines()) for path in root.rglob("*.py")
    )


class BoundaryTest(unittest.TestCase):
    def test_platforms_names_stand_in_its_folder_only(self) -> None:
        for path in _SOURCES.rglob("*.py"):
            if _PLATFORM in path.parents:
                continue
            found = _NAMES.search(path.read_text())
            self.assertIsNone(found, f"{path.name}: {found}")

    def test_folder_is_small(self) -> None:
        part = _count_lines(_PLATFORM) / _count_lines(_SOURCES)
        self.assertLess(part, _PART_MAX)
