"""Internal errors of one request, which must not affect any other.

Guards against the end of the process: an exception while a target was chosen
for one request ended the task that places all requests.
"""

import unittest
from unittest import mock

import loguru

from ruddergate.entry import placing
from tests import gateway_fixture

_PROMPT_TOKENS = 4_242


class InternalErrorsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_request_that_cannot_be_placed_is_refused_alone(self) -> None:
        place = placing.Placer.place

        def fail(placer, request, *args):  # noqa: ANN001, ANN002, ANN202
            if request.routing_job.prompt_tokens == _PROMPT_TOKENS:
                raise MemoryError
            return place(placer, request, *args)

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for _ in range(3):
                result = await fixture.call(
                    "short", prompt_tokens=_PROMPT_TOKENS
                )
                self.assertEqual(result.status, 503)
                self.assertIn(b'"ran":"not_run"', result.body)
                self.assertEqual(fixture.find_runs(result), [])
                self.assertEqual((await fixture.call("short")).status, 200)

        with mock.patch.object(placing.Placer, "place", fail):
            gateway_fixture.run_scenario(scenario)
