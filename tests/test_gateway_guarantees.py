"""What the judge of the schedules counts as a fault of a gateway."""

from collections.abc import Mapping
import dataclasses
import unittest

from standins import gateway_guarantees
from standins import platform_replica
from tests import gateway_fixture

# What a caller might have received instead, by route.
_FALSE_RESULTS: Mapping[str, Mapping[str, Mapping[str, object]]] = {
    "unsafe": {
        "no signature": {"headers": {}},
        "another's answer": {
            "body": platform_replica.make_plain_body("another")
        },
        "a part as if it were whole": {"body": b"answer"},
        "a status that no replica gave": {"status": 500},
        "not run": {"status": 503, "headers": {}},
        "no answer": {"status": 0, "headers": {}, "is_complete": False},
        "no answer in time": {
            "status": 0,
            "headers": {},
            "is_complete": False,
            "took_ms": 2_600.0,
        },
    },
    "short": {
        "an event twice": {
            "body": platform_replica.make_event("r1", 1) * 2,
            "is_complete": False,
        },
        "an event is missing": {
            "body": platform_replica.make_event("r1", 2),
            "is_complete": False,
        },
        "broken off": {
            "body": platform_replica.make_event("r1", 1),
            "is_complete": False,
        },
    },
}


class JudgeTest(unittest.TestCase):
    def test_false_results_are_found(self) -> None:
        for route, by_name in _FALSE_RESULTS.items():
            for name, changes in by_name.items():
                with self.subTest(route=route, name=name):
                    self._check(route, changes)

    def test_request_that_was_never_sent_on_is_lost(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call("unsafe")
            lost = dataclasses.replace(
                result,
                call=dataclasses.replace(result.call, request_id="never"),
                status=0,
                headers={},
                is_complete=False,
            )
            for took_ms, is_lost in ((100.0, False), (300.0, True)):
                broken = gateway_guarantees.find_broken(
                    fixture.cluster,
                    [dataclasses.replace(lost, took_ms=took_ms)],
                )
                self.assertEqual(bool(broken), is_lost, broken)

        gateway_fixture.run_scenario(scenario)

    def _check(self, route: str, changes: Mapping[str, object]) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call(route)
            self.assertEqual(
                gateway_guarantees.find_broken(fixture.cluster, [result]), []
            )
            false_result = dataclasses.replace(result, **changes)
            broken = gateway_guarantees.find_broken(
                fixture.cluster, [false_result]
            )
            self.assertNotEqual(broken, [])

        gateway_fixture.run_scenario(scenario)
