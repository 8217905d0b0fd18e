"""Malformed or unrecognized entries under the store keys of targets.

Guards against three faults: an unknown state counted as draining, which held
for that name forever; a missing hall or slot count was read as empty and 0;
and one malformed entry kept a whole reply of the store from confirming that
settings are fresh, so that keys were refused on every VM while the entry
changed.
"""

import asyncio
import base64
import random
import unittest

import hypothesis
from hypothesis import strategies
import loguru
import orjson

from ruddergate import environment
from ruddergate.decisions import draining
from ruddergate.entry import target_list
from ruddergate.fleet import condition
from ruddergate.platform import store
from ruddergate.platform import targets
from ruddergate.relay import published
from tests import gateway_fixture

_NAMES = ("a", "b", "c", "d")
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)


def _make_entry(name: str, **fields: object) -> dict[str, object]:
    return {
        "service": "engines",
        "address": f"10.0.0.{1 + _NAMES.index(name)}:80",
        "zone": "h",
        "config-version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
        **fields,
    }


def _make_item(name: str, value: object) -> dict[str, object]:
    data = value if isinstance(value, bytes) else orjson.dumps(value)
    text = base64.b64encode(data).decode()
    return {"key": f"servers/{name}", "value": text, "revision": 1}


def _read(items: list[object]) -> published.Changes:
    return store._read_items(items, 9, lambda document: "no settings")


# Malformed entries: a field is missing, has the wrong type or an unknown value,
# or the document is something else altogether.
_MALFORMED = strategies.one_of(
    strategies.sampled_from(
        ("service", "address", "zone", "slots", "state")
    ).map(
        lambda name: {
            key: value for key, value in _make_entry("a").items() if key != name
        }
    ),
    strategies.tuples(
        strategies.sampled_from(
            ("service", "address", "zone", "slots", "state", "born", "sequence")
        ),
        strategies.sampled_from((None, True, -1, 1.5, [], {}, "")),
    ).map(lambda pair: {**_make_entry("a"), pair[0]: pair[1]}),
    strategies.text(max_size=8).map(
        lambda state: {**_make_entry("a"), "state": state + "?"}
    ),
    _JSON,
    strategies.binary(max_size=12).map(lambda data: b"\xff" + data),
)


class StoreReplyTest(unittest.TestCase):
    @hypothesis.given(_MALFORMED, strategies.integers(0, 3))
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    def test_malformed_entry_does_not_affect_the_others(
        self, value: object, index: int
    ) -> None:
        items = [_make_item(name, _make_entry(name)) for name in _NAMES]
        unchanged = _read(items)
        items[index] = _make_item(_NAMES[index], value)
        found = _read(items)
        others = [
            each
            for each in unchanged.targets
            if each.target_id != _NAMES[index]
        ]
        self.assertEqual(list(found.targets), others)
        malformed_ids = [each.target_id for each in found.malformed]
        self.assertEqual(malformed_ids, [_NAMES[index]])
        self.assertEqual((found.removed, found.problems), ((), ()))

    @hypothesis.given(strategies.lists(_JSON, max_size=6))
    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    def test_arbitrary_items_raise_nothing(self, items: list[object]) -> None:
        self.assertEqual(_read(items).targets, ())

    def test_valid_entry_in_the_same_reply_applies(self) -> None:
        valid = _make_item("a", _make_entry("a"))
        malformed = _make_item("a", b"\xff")
        self.assertEqual(_read([malformed, valid]).malformed, ())
        self.assertEqual(len(_read([valid, malformed]).malformed), 1)
        # An earlier valid entry holds, here that the target is draining.
        draining_item = _make_item("a", _make_entry("a", state="draining"))
        found = _read([draining_item, malformed]).targets
        self.assertIs(found[0].condition, condition.Condition.DRAINING)


class TargetListTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def setUp(self) -> None:
        self.list = target_list.TargetList(draining.DrainState())

    def _apply(self, items: list[object], now_ms: float, is_all=False) -> None:
        grace = target_list.Grace(float("-inf"), now_ms + 1_500.0)
        self.list.apply_changes(_read(items), is_all, now_ms, grace)

    def _list_names(self) -> list[str]:
        return [each.target_id for each in self.list.list_targets()]

    def test_target_with_a_malformed_entry_is_kept_until_it_writes_again(
        self,
    ) -> None:
        valid = [_make_item(name, _make_entry(name)) for name in "ab"]
        self._apply(valid, 0.0, is_all=True)
        self._apply([_make_item("a", b"?")], 100.0)
        self.assertEqual(self._list_names(), ["a", "b"])
        self._apply(valid[:1], 1_200.0)
        self.list.drop_expired(9_000.0)
        self.assertEqual(self._list_names(), ["a", "b"])

    def test_entry_that_stays_malformed_is_dropped(self) -> None:
        valid = [_make_item(name, _make_entry(name)) for name in "ab"]
        self._apply(valid, 0.0, is_all=True)
        self._apply([_make_item("a", b"?"), valid[1]], 100.0, is_all=True)
        self.list.drop_expired(1_700.0)
        self.assertEqual(self._list_names(), ["b"])

    def test_each_refused_entry_is_logged_once(self) -> None:
        lines: list[str] = []
        sink = loguru.logger.add(lambda line: lines.append(str(line)))
        try:
            for _ in range(5):
                self._apply([_make_item("a", b"?")], 0.0)
            self._apply([_make_item("a", {})], 0.0)
        finally:
            loguru.logger.remove(sink)
        self.assertEqual(len(lines), 2)
        self.assertEqual(self.list.refused, 6)


class UnrecognizedWriterTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_unrecognized_entries_fail_no_requests(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            rng = random.Random(3)
            cluster = fixture.cluster
            names = [node.replica.name for node in cluster.targets.values()]
            statuses = []
            for number in range(60):
                name = rng.choice((*names, "nobody"))
                entry = {"service": "engines", "state": f"s{number}"}
                cluster.store.put(f"servers/{name}", entry)
                result = await fixture.call("short", f"vm-{number % 3}")
                statuses.append(result.status)
                await asyncio.sleep(0.1)
            self.assertEqual(set(statuses), {200})

        gateway_fixture.run_scenario(scenario, engines=6)


class AddressTest(unittest.TestCase):
    """Addresses that the event loop can't look up.

    Guards against the end of the process: an entry of another client with a
    host label of 64 characters made a probe raise UnicodeError, which is no
    OSError.
    """

    def test_entry_with_such_an_address_is_malformed(self) -> None:
        for address in (
            "a" * 64 + ":80",
            "a." * 200 + "b:80",
            "a..b:80",
            "\u017d:80",
            "a\x00b:80",
            "a b\n:80",
            "10.0.0.1:99999",
            "10.0.0.1:" + "1" * 5_000,
        ):
            entry = _make_entry("a", address=address)
            self.assertIsInstance(targets.read_target("a", entry), str)

    def test_connecting_to_such_an_address_fails_as_a_connection(self) -> None:
        env = environment.make_system_environment()
        for address in (
            environment.Address("a" * 64, 80),
            environment.Address("a..b", 80),
            environment.Address("127.0.0.1", 99_999),
        ):
            with self.assertRaises(OSError):
                asyncio.run(env.connect(address))
