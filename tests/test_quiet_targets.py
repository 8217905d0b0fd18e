"""Targets that refuse and say for how long they want no calls.

What stood beside a refusal was not read. A target that had too much to do was
asked again as soon as its pause after the failure ended, by all that waited.
"""

import asyncio
import unittest

import loguru

from tests import gateway_fixture

# A quiet time begins so long after the answer, for what was on its way.
_BEGINS_S = 0.5
# Calls of one VM that may reach a target within one quiet time.
_MOST = 2
# Longer than the pauses after four failures: a VM that goes by these alone
# comes back more often than that.
_QUIET_S = 12


class QuietTargetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_target_gets_no_calls_of_a_vm_that_it_told(self) -> None:
        for route, name in (("open", "service-0"), ("short", "engine-3")):
            self._play_one(route, name)

    def _play_one(self, route: str, name: str) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults(name, refuse=1.0, retry_after=str(_QUIET_S))
            replica = scene.cluster.targets[name].replica
            calls = []
            for _ in range(round(_QUIET_S / 0.12)):
                calls.append(asyncio.ensure_future(scene.call(route)))
                await asyncio.sleep(0.12)
            got = await asyncio.gather(*calls)
            self.assertGreater(len(replica.arrivals), 0)
            first_s = replica.arrivals[0].at_s
            late = [
                each
                for each in replica.arrivals
                if first_s + _BEGINS_S < each.at_s < first_s + _QUIET_S
            ]
            self.assertLessEqual(len(late), _MOST)
            # Only the call that was told has no second send to spend yet.
            failed = [each for each in got if each.status != 200]
            self.assertLessEqual(len(failed), 1)

        gateway_fixture.run_scenario(scene, vms=1)

    def test_what_cannot_be_served_is_refused_at_once(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults("service", refuse=1.0, retry_after="3.5")
            for _ in range(4):
                await scene.call("open")
            refused = await scene.call("open")
            self.assertEqual(
                (refused.status, scene.find_runs(refused)), (503, [])
            )
            self.assertLess(refused.took_ms, 50.0)
            # The first of them takes calls then, and not before.
            self.assertGreater(float(refused.headers["retry-after"]), 2.0)
            self.assertLess(float(refused.headers["retry-after"]), 4.1)
            scene.inject_faults("service", refuse=0.0)
            await asyncio.sleep(float(refused.headers["retry-after"]))
            self.assertEqual((await scene.call("open")).status, 200)

        gateway_fixture.run_scenario(scene, vms=1)

    def test_refused_callers_are_not_told_to_come_back_together(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults("service", refuse=1.0, retry_after="3.5")
            for _ in range(4):
                await scene.call("open")
            got = await asyncio.gather(*(scene.call("open") for _ in range(20)))
            times = {
                round(float(each.headers["retry-after"]), 2) for each in got
            }
            self.assertGreater(len(times), 8)
            self.assertGreater(min(times), 2.0)

        gateway_fixture.run_scenario(scene, vms=1)

    def test_what_can_be_served_in_time_waits(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults("service", refuse=1.0, retry_after="0.6")
            for _ in range(3):
                await scene.call("open")
            scene.inject_faults("service", refuse=0.0)
            got = await scene.call("open")
            self.assertEqual(got.status, 200)

        gateway_fixture.run_scenario(scene, vms=1)

    def test_not_all_that_waited_goes_when_the_time_ends(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults("service", refuse=1.0, retry_after="0.8")
            replica = scene.cluster.targets["service-0"].replica
            for _ in range(2):
                for vm in scene.cluster.vms:
                    await scene.call("open", vm)
            scene.inject_faults("service", refuse=0.0)
            before = len(replica.arrivals)
            calls = [
                asyncio.ensure_future(scene.call("open", f"vm-{number % 6}"))
                for number in range(36)
            ]
            await asyncio.gather(*calls)
            came_s = [each.at_s for each in replica.arrivals[before:]]
            # A plain call takes 90 ms there; before the first has ended, each
            # VM has sent one at most.
            first = [at for at in came_s if at <= came_s[0] + 0.09]
            self.assertLessEqual(len(first), 6)

        gateway_fixture.run_scenario(scene, vms=6, services=1, is_strict=False)

    def test_times_without_a_meaning_do_no_harm(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            for text in ("-1", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"):
                scene.inject_faults("service", refuse=1.0, retry_after=text)
                await scene.call("open")
                scene.inject_faults("service", refuse=0.0)
                got = await scene.call("open")
                self.assertEqual(got.status, 200)

        gateway_fixture.run_scenario(scene, vms=1)

    def test_targets_own_time_is_not_handed_on(self) -> None:
        async def scene(scene: gateway_fixture.Fixture) -> None:
            scene.inject_faults("service-0", refuse=1.0, retry_after="30")
            got = await scene.call("open")
            self.assertEqual(got.status, 503)
            self.assertLess(float(got.headers["retry-after"]), 1.0)

        gateway_fixture.run_scenario(scene, vms=1)
