"""Header values that are not ASCII, which HTTP/1.1 allows.

Guards against lost answers: a target's answer with such a value was dropped
after its request had run, and a caller's request with one was never sent.
"""

import asyncio
import unittest

import loguru

from ruddergate.platform import configuration
from ruddergate.platform import targets
from standins import gateway_cluster
from tests import gateway_fixture

_VALUE = "ra\xc4\x8dun.pdf"


class HeaderValuesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_answer_reaches_the_caller(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("", answer_header=_VALUE)
            for route in ("unsafe", "short", "once"):
                result = await fixture.call(route)
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )
                self.assertEqual(result.headers["x-note"], _VALUE)

        gateway_fixture.run_scenario(scenario)

    def test_request_reaches_the_target(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for route in ("unsafe", "short"):
                result = await fixture.call(route, headers={"x-note": _VALUE})
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )
                (run,) = fixture.find_runs(result)
                self.assertEqual(run.note, _VALUE)

        gateway_fixture.run_scenario(scenario)

    def test_workspace_with_such_a_name_is_served(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            name = "\u017di\u017eek"
            fixture.cluster.keys = {name: [gateway_cluster.KEY]}
            fixture.cluster.publish()
            await asyncio.sleep(2.0)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 200)
            (run,) = fixture.find_runs(result)
            self.assertEqual(run.workspace.encode("latin-1").decode(), name)

        gateway_fixture.run_scenario(scenario)

    def test_names_that_cannot_be_sent_are_refused(self) -> None:
        document = gateway_cluster.make_configuration(
            {"a\r\nx: y": ["k1"], "w": ["k2"], "\x00": ["k3"]}, 7
        )
        catalog = configuration.read_catalog(document)
        self.assertEqual(list(catalog.workspaces), ["k2"])
        for name in ("a\r\nb", "a\x00", "\u017d"):
            self.assertIsInstance(targets.read_target(name, {}), str)

    def test_stream_with_a_malformed_event_id_breaks(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", event_id_suffix="\x01\x7f")
            call = asyncio.ensure_future(
                fixture.call("short", output_tokens=2_000)
            )
            await asyncio.sleep(0.2)
            fixture.reset_busy_targets()
            result = await call
            self.assertEqual((result.status, result.is_complete), (200, False))
            self.assertEqual((await fixture.call("unsafe")).status, 200)

        gateway_fixture.run_scenario(scenario, engines=4, halls=1)
