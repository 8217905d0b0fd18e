"""Requests that name larger numbers than any target can serve.

Guards against the end of the process: one request that named 2**63 tokens made
the scheduler build a tuple with an entry for each engine that it would need.
"""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies
import loguru

from tests import gateway_fixture

_MANY_TOKENS = 9_223_372_036_854_775_807
# Refusals that need no target come within a few milliseconds.
_AT_ONCE_MS = 50.0


class OversizedRequestsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_request_that_no_pool_can_hold_is_refused_at_once(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for prompt_tokens, output_tokens in (
                (3_000, _MANY_TOKENS),
                (_MANY_TOKENS, 1),
                (10**300, 1),
                (3_000, 10**400),
                (10_000_000, 100),
            ):
                result = await fixture.call(
                    "short",
                    prompt_tokens=prompt_tokens,
                    output_tokens=output_tokens,
                )
                self.assertEqual(result.status, 503)
                self.assertIn(b"prompt_too_long", result.body)
                self.assertIn(b"not_run", result.body)
                self.assertNotIn("retry-after", result.headers)
                self.assertLess(result.took_ms, _AT_ONCE_MS)
            self.assertEqual((await fixture.call("short")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_requests_under_way_are_not_affected(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            calls = [
                asyncio.ensure_future(fixture.call("short")) for _ in range(8)
            ]
            await asyncio.sleep(0.05)
            await fixture.call("short", output_tokens=_MANY_TOKENS)
            for result in await asyncio.gather(*calls):
                self.assertTrue(result.is_complete)

        gateway_fixture.run_scenario(scenario)

    def test_large_prompt_that_fits_is_served(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call(
                "long",
                prompt_tokens=1_000_000,
                output_tokens=100,
                time_limit_ms=15_000.0,
            )
            self.assertEqual((result.status, result.is_complete), (200, True))

        gateway_fixture.run_scenario(scenario, engines=18, halls=1)

    @hypothesis.given(
        strategies.one_of(
            strategies.integers(-(10**30), 10**30).map(str),
            strategies.floats().map(str),
            strategies.sampled_from(("1e400", "-1e400", "nan", "", "1,2,3")),
        ),
        strategies.integers(0, 10**30).map(str),
    )
    @hypothesis.settings(max_examples=30, deadline=None, derandomize=True)
    def test_no_size_ends_the_process(self, prompt: str, output: str) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call(
                "unsafe", headers={"x-token-usage": f"{prompt},{output}"}
            )
            self.assertEqual(result.status, 200)
            await fixture.call(
                "short",
                headers={"x-token-usage": f"{prompt},{output}"},
                time_limit_ms=300.0,
            )
            self.assertEqual((await fixture.call("unsafe")).status, 200)

        gateway_fixture.run_scenario(scenario, vms=1, halls=1, engines=2)
