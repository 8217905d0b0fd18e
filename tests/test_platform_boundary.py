"""Everything specific to the users' platform is in one package."""

import pathlib
import re
import unittest

_SOURCES = pathlib.Path(__file__).parent.parent / "src" / "ruddergate"
_PLATFORM = _SOURCES / "platform"
# Headers, paths and fields of the platform's protocols.
_PLATFORM_NAMES = re.compile(
    r"X-Attempt|X-Replica|X-Not-Executed|X-Expect|X-Token-Usage|X-Prefix-Hash"
    r"|X-Tenant|X-Deadline-Ms|X-Api-Key|kv-watch|kv-range|kv-key|op/config"
    r"|config-version|traffic-split|route-type|kv-capacity|api-keys"
    r"|max-attempts|target-latency-ms|path-prefix|RUDDERGATE_BOOT",
    re.IGNORECASE,
)
# The platform package only translates, so it stays below this share of the
# source lines.
_MAX_SHARE = 0.08


def _count_lines(root: pathlib.Path) -> int:
    return sum(
        len(path.read_text().splitlines()) for path in root.rglob("*.py")
    )


class PlatformBoundaryTest(unittest.TestCase):
    def test_platform_names_appear_only_in_the_platform_package(self) -> None:
        for path in _SOURCES.rglob("*.py"):
            if _PLATFORM in path.parents:
                continue
            found = _PLATFORM_NAMES.search(path.read_text())
            self.assertIsNone(found, f"{path.name}: {found}")

    def test_platform_package_is_small(self) -> None:
        share = _count_lines(_PLATFORM) / _count_lines(_SOURCES)
        self.assertLess(share, _MAX_SHARE)
