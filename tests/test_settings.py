"""The settings tree: checks, inheritance and explanations."""

import json
import pathlib
import unittest

from ruddergate.settings import check
from ruddergate.settings import effective
from ruddergate.settings import index
from ruddergate.settings import kind
from ruddergate.settings import tree

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _make_branches() -> dict:
    return {
        "root": {"kind": "root", "settings": {"class": "c", "pool": "p"}},
        "c": {"kind": "class", "parent": "root", "settings": {"rank": 1}},
        "p": {"kind": "pool", "parent": "root", "settings": {}},
        "w": {"kind": "workspace", "parent": "root", "settings": {}},
        "w/a": {"kind": "workload", "settings": {}},
    }


def _check(branches: dict) -> list[str]:
    data = json.dumps({"branches": branches}).encode()
    checked = check.parse_tree(1, {"main": data})
    if isinstance(checked, tree.Tree):
        return []
    return [str(problem) for problem in checked]


class CheckTest(unittest.TestCase):
    def test_examples_are_valid(self) -> None:
        for path in sorted(_EXAMPLES.glob("*.json")):
            checked = check.parse_tree(1, {"main": path.read_bytes()})
            self.assertIsInstance(checked, tree.Tree, path.name)

    def test_invalid_trees_are_reported_with_path_and_expectation(self) -> None:
        cases = {
            "unknown key": ("w", "settings", {"colour": 1}, "w: colour"),
            "wrong unit": (
                "w",
                "settings",
                {"time_limit_s": 3},
                "'time_limit_ms'",
            ),
            "wrong type": (
                "w",
                "settings",
                {"repeatable": "yes"},
                "true or false",
            ),
            "out of bounds": (
                "w",
                "settings",
                {"time_limit_ms": 1},
                "from 10 to",
            ),
            "unknown kind": ("w", "kind", "zone", "w: kind"),
            "unknown parent": ("w", "parent", "nowhere", "w: parent"),
            "unknown class": ("w/a", "settings", {"class": "x"}, "kind class"),
            "class that is a pool": (
                "w/a",
                "settings",
                {"class": "p"},
                "kind class",
            ),
            "bad digest": (
                "w",
                "settings",
                {"key_sha256": "12"},
                "64 hexadecimal",
            ),
            "shares over the whole": (
                "w",
                "hall_percent",
                {"a": 60, "b": 60},
                "at most 100",
            ),
            "a branch that is no object": ("w", None, 7, "an object"),
        }
        for name, (branch, key, value, expected) in cases.items():
            with self.subTest(name):
                branches = _make_branches()
                if key is None:
                    branches[branch] = value
                else:
                    branches[branch][key] = value
                self.assertIn(expected, " ".join(_check(branches)))

    def test_cycle(self) -> None:
        branches = _make_branches()
        branches["w"]["parent"] = "w/a"
        self.assertIn("a cycle", " ".join(_check(branches)))

    def test_two_roots(self) -> None:
        branches = _make_branches()
        branches["other"] = {"kind": "root"}
        self.assertIn("one branch of kind root", " ".join(_check(branches)))

    def test_value_over_a_megabyte(self) -> None:
        checked = check.parse_tree(1, {"main": b" " * 1_000_001})
        self.assertIn("at most 1000000 bytes", str(checked[0]))

    def test_not_json_and_not_an_object(self) -> None:
        for data in (b"{", b"[]", b'{"branches": 3}', b"\xff"):
            checked = check.parse_tree(1, {"main": data})
            self.assertNotIsInstance(checked, tree.Tree)

    def test_branch_in_two_shards(self) -> None:
        data = json.dumps({"branches": _make_branches()}).encode()
        checked = check.parse_tree(1, {"a": data, "b": data})
        self.assertIn("one shard", str(checked[0]))


class EffectiveTest(unittest.TestCase):
    def test_branch_overrides_only_what_differs(self) -> None:
        branches = _make_branches()
        branches["w"]["settings"] = {"weight": 3, "time_limit_ms": 500}
        branches["w/a"]["settings"] = {"time_limit_ms": 700}
        data = json.dumps({"branches": branches}).encode()
        settings_tree = check.parse_tree(4, {"main": data})
        rows = effective.explain(settings_tree, "w/a", kind.Kind.WORKLOAD)
        found = {row.name: (row.value, row.branch) for row in rows}
        self.assertEqual(found["time_limit_ms"], (700, "w/a"))
        self.assertEqual(found["weight"], (3, "w"))
        self.assertEqual(found["class"], ("c", "root"))
        self.assertEqual(found["repeatable"], (True, "default"))

    def test_workspace_cannot_reach_anothers_workload(self) -> None:
        path = _EXAMPLES / "voltaruta.json"
        settings_tree = check.parse_tree(1, {"main": path.read_bytes()})
        settings_index = index.Index(settings_tree)
        self.assertEqual(
            settings_index.find_workspace("demo-heredia"), "heredia"
        )
        self.assertIsNone(settings_index.find_workspace("demo-heredi"))
        self.assertIsNotNone(settings_index.find_workload("heredia", "taps"))
        self.assertIsNone(
            settings_index.find_workload("heredia", "cartago/taps")
        )

    def test_limits_of_workspace_and_workload_both_count(self) -> None:
        branches = _make_branches()
        branches["w"]["settings"] = {"concurrency_max": 10}
        branches["w/a"]["settings"] = {"concurrency_max": 2}
        data = json.dumps({"branches": branches}).encode()
        settings_tree = check.parse_tree(1, {"main": data})
        limits = effective.resolve_workload(settings_tree, "w/a").limits
        self.assertEqual([limit.scope for limit in limits], ["w/a", "w"])
