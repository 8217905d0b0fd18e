"""Targets that refuse requests with a Retry-After header.

If a VM ignores the header, an overloaded target gets all waiting requests again
as soon as its pause after the failure ends.
"""

import asyncio
import unittest

import loguru

from tests import gateway_fixture

# A backoff is checked from this time after the response on: requests sent
# before it may still arrive.
_BACKOFF_STARTS_S = 0.5
# Requests of one VM that may reach a target during a backoff.
_MAX_REQUESTS = 2
# Longer than the pauses after four failures: a VM that observes only those
# pauses sends more requests than that.
_BACKOFF_S = 12


class BackoffTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_target_gets_no_requests_during_its_backoff(self) -> None:
        for route, name in (("open", "service-0"), ("short", "engine-3")):
            self._check_target(route, name)

    def _check_target(self, route: str, name: str) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults(name, refuse=1.0, retry_after=str(_BACKOFF_S))
            replica = fixture.cluster.targets[name].replica
            calls = []
            for _ in range(round(_BACKOFF_S / 0.12)):
                calls.append(asyncio.ensure_future(fixture.call(route)))
                await asyncio.sleep(0.12)
            results = await asyncio.gather(*calls)
            self.assertGreater(len(replica.arrivals), 0)
            first_s = replica.arrivals[0].at_s
            late = [
                each
                for each in replica.arrivals
                if first_s + _BACKOFF_STARTS_S
                < each.at_s
                < first_s + _BACKOFF_S
            ]
            self.assertLessEqual(len(late), _MAX_REQUESTS)
            # Only the first refused call has no retry budget yet.
            failed = [each for each in results if each.status != 200]
            self.assertLessEqual(len(failed), 1)

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_request_is_refused_at_once_during_a_long_backoff(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", refuse=1.0, retry_after="3.5")
            for _ in range(4):
                await fixture.call("open")
            refused = await fixture.call("open")
            self.assertEqual(
                (refused.status, fixture.find_runs(refused)), (503, [])
            )
            self.assertLess(refused.took_ms, 50.0)
            # The first of the targets accepts requests then, and not before.
            self.assertGreater(float(refused.headers["retry-after"]), 2.0)
            self.assertLess(float(refused.headers["retry-after"]), 4.1)
            fixture.inject_faults("service", refuse=0.0)
            await asyncio.sleep(float(refused.headers["retry-after"]))
            self.assertEqual((await fixture.call("open")).status, 200)

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_refused_callers_get_spread_retry_times(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", refuse=1.0, retry_after="3.5")
            for _ in range(4):
                await fixture.call("open")
            results = await asyncio.gather(
                *(fixture.call("open") for _ in range(20))
            )
            times = {
                round(float(each.headers["retry-after"]), 2) for each in results
            }
            self.assertGreater(len(times), 8)
            self.assertGreater(min(times), 2.0)

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_request_waits_for_the_end_of_a_short_backoff(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", refuse=1.0, retry_after="0.6")
            for _ in range(3):
                await fixture.call("open")
            fixture.inject_faults("service", refuse=0.0)
            result = await fixture.call("open")
            self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_waiting_requests_are_not_all_sent_when_a_backoff_ends(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", refuse=1.0, retry_after="0.8")
            replica = fixture.cluster.targets["service-0"].replica
            for _ in range(2):
                for vm in fixture.cluster.vms:
                    await fixture.call("open", vm)
            fixture.inject_faults("service", refuse=0.0)
            before = len(replica.arrivals)
            calls = [
                asyncio.ensure_future(fixture.call("open", f"vm-{number % 6}"))
                for number in range(36)
            ]
            await asyncio.gather(*calls)
            arrivals_s = [each.at_s for each in replica.arrivals[before:]]
            # The target takes 90 ms for a plain request. Until the first one
            # has completed, each VM has sent at most one.
            first = [at for at in arrivals_s if at <= arrivals_s[0] + 0.09]
            self.assertLessEqual(len(first), 6)

        gateway_fixture.run_scenario(
            scenario, vms=6, services=1, is_strict=False
        )

    def test_malformed_retry_times_do_no_harm(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for text in ("-1", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"):
                fixture.inject_faults("service", refuse=1.0, retry_after=text)
                await fixture.call("open")
                fixture.inject_faults("service", refuse=0.0)
                result = await fixture.call("open")
                self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_retry_time_of_a_target_is_not_passed_on(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service-0", refuse=1.0, retry_after="30")
            result = await fixture.call("open")
            self.assertEqual(result.status, 503)
            self.assertLess(float(result.headers["retry-after"]), 1.0)

        gateway_fixture.run_scenario(scenario, vms=1)
