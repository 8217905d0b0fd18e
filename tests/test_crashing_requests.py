"""Poison requests: requests that crash the engines that run them."""

import asyncio
import random
import unittest

import loguru

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from tests import gateway_fixture

_CRASHING_BODY = b"a prompt that ends engines"
# Engines that such a request may crash before it is quarantined.
_MAX_CRASHED = 3
# Attempts of a caller: the first and one retry.
_CALLER_ATTEMPTS = 2
# Within this time a reachable VM has learned what the others know.
_GOSSIP_S = 3.0
_ENGINES = [f"engine-{number}" for number in range(16)]


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes engines must reach a bounded number of them.

    Callers repeated two such requests through any VM, each time with a new
    request id. Each attempt went to two engines, and they crashed 20 and 22
    engines within 68 s, because no VM remembered a request beyond one attempt
    of its caller.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_request_that_crashed_three_engines_is_not_sent_again(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.poison_bodies.add(_CRASHING_BODY)
            vms = len(fixture.cluster.vms)
            for number in range(12):
                result = await fixture.call(
                    "short", f"vm-{number % vms}", body=_CRASHING_BODY
                )
                self.assertIn(result.status, (502, 503))
                await asyncio.sleep(0.3 if number % _CALLER_ATTEMPTS else 3.0)
            runs = fixture.cluster.list_runs(_CRASHING_BODY)
            self.assertLessEqual(len(runs), _MAX_CRASHED)

        gateway_fixture.run_scenario(scenario, vms=6, engines=12)

    def test_restarted_replicas_count_as_separate_incarnations(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.poison_bodies.add(_CRASHING_BODY)
            for number in range(10):
                await fixture.call(
                    "short", f"vm-{number % 3}", body=_CRASHING_BODY
                )
                await asyncio.sleep(3.0)
            runs = fixture.cluster.list_runs(_CRASHING_BODY)
            self.assertLessEqual(len(runs), _MAX_CRASHED)

        gateway_fixture.run_scenario(
            scenario, engines=2, halls=1, reuses_names=True
        )

    def test_concurrent_attempts_on_many_vms_stop_soon(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.poison_bodies.add(_CRASHING_BODY)
            for _ in range(3):
                await asyncio.gather(
                    *(
                        fixture.call("short", vm, body=_CRASHING_BODY)
                        for vm in fixture.cluster.vms
                    )
                )
                await asyncio.sleep(_GOSSIP_S)
            runs = fixture.cluster.list_runs(_CRASHING_BODY)
            late_runs = [
                run for run in runs if run.at_s > runs[2].at_s + _GOSSIP_S
            ]
            self.assertEqual(late_runs, [])
            self.assertLessEqual(len(runs), 2 * len(fixture.cluster.vms))

        gateway_fixture.run_scenario(scenario, vms=6, engines=16)

    def test_concurrent_requests_are_served(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.poison_bodies.add(_CRASHING_BODY)
            concurrent = [
                asyncio.ensure_future(
                    fixture.call(
                        "short",
                        f"vm-{number % 6}",
                        body=b"beside %d" % number,
                        output_tokens=2_000,
                    )
                )
                for number in range(24)
            ]
            await asyncio.sleep(0.1)
            for number in range(4):
                await fixture.call("short", f"vm-{number}", body=_CRASHING_BODY)
            results = await asyncio.gather(*concurrent)
            failed = [each for each in results if not each.is_complete]
            self.assertEqual(failed, [])
            self.assertEqual(
                gateway_guarantees.find_broken(fixture.cluster, results), []
            )
            # None of them is counted as the cause of a crash either.
            for number in range(24):
                repeated = await fixture.call(
                    "short", body=b"beside %d" % number
                )
                self.assertEqual(repeated.status, 200)

        gateway_fixture.run_scenario(scenario, vms=6, engines=12)


class PropagationTest(unittest.TestCase):
    """Known poison requests are remembered after restarts and partitions."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_restarted_vm_knows_before_its_first_request(self) -> None:
        self._check_restarts(("vm-0", "vm-2"), 0.2)

    def test_restarted_seed_vms_know_within_a_gossip_round(self) -> None:
        # All seed VMs restart: they have no peers to ask until other VMs
        # contact them.
        self._check_restarts(("vm-0", "vm-1"), 1.2)

    def _check_restarts(
        self, restarted: tuple[str, ...], wait_s: float
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.poison_bodies.add(_CRASHING_BODY)
            for vm in ("vm-0", "vm-1"):
                await fixture.call("short", vm, body=_CRASHING_BODY)
            runs_before = len(fixture.cluster.list_runs(_CRASHING_BODY))
            for vm in restarted:
                node = fixture.cluster.vms[vm]
                fixture.cluster.kill(node)
                fixture.cluster.start_vm(node)
            await asyncio.sleep(wait_s)
            for vm in fixture.cluster.vms:
                result = await fixture.call("short", vm, body=_CRASHING_BODY)
                self.assertEqual(result.status, 503)
                self.assertIn("retry-after", result.headers)
            runs = fixture.cluster.list_runs(_CRASHING_BODY)
            self.assertEqual(len(runs), runs_before)

        gateway_fixture.run_scenario(scenario, vms=4, engines=12)

    def test_hall_learns_of_quarantines_after_a_partition(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.poison_bodies.add(_CRASHING_BODY)
            cut = gateway_cluster.virtual_network.Cut("hall-2", "")
            cluster.network.cuts.append(cut)
            for vm in ("vm-0", "vm-1"):
                await fixture.call("short", vm, body=_CRASHING_BODY)
            runs_before = len(cluster.list_runs(_CRASHING_BODY))
            await asyncio.sleep(3.0)
            cluster.network.cuts.remove(cut)
            await asyncio.sleep(_GOSSIP_S)
            for vm, node in cluster.vms.items():
                if node.hall == "hall-2":
                    result = await fixture.call(
                        "short", vm, body=_CRASHING_BODY
                    )
                    self.assertEqual(result.status, 503)
            self.assertEqual(
                len(cluster.list_runs(_CRASHING_BODY)), runs_before
            )

        gateway_fixture.run_scenario(scenario, vms=6, engines=12)

    def test_large_fleet_learns_of_a_quarantine_in_time(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.poison_bodies.add(_CRASHING_BODY)
            for vm in ("vm-0", "vm-1"):
                await fixture.call("short", vm, body=_CRASHING_BODY)
            await asyncio.sleep(1.0)
            informed_vms = [
                node.name
                for node in cluster.vms.values()
                if node.gateway.context.quarantine.list_quarantined()
            ]
            self.assertEqual(len(informed_vms), len(cluster.vms))

        gateway_fixture.run_scenario(scenario, vms=40, engines=12)


class RandomCrashTest(unittest.TestCase):
    """Crashes that no request causes quarantine no request."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_random_crashes_quarantine_no_request(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            rng = random.Random(7)
            calls = []
            for number in range(300):
                call = fixture.call(
                    rng.choice(("short", "short", "safe")),
                    f"vm-{number % 6}",
                    body=b"%d" % (number % 100),
                )
                calls.append(asyncio.ensure_future(call))
                await asyncio.sleep(0.05)
                if number % 25 == 0:
                    for name in rng.sample(_ENGINES, 3):
                        node = fixture.cluster.targets[name]
                        if not node.process.is_dead:
                            fixture.cluster.crash_target(node)
            results = await asyncio.gather(*calls)
            refused = [each for each in results if b"quarantined" in each.body]
            self.assertEqual(refused, [])
            served = sum(each.is_complete for each in results)
            self.assertGreater(served, 0.97 * len(results))

        gateway_fixture.run_scenario(scenario, vms=6, engines=len(_ENGINES))

    def test_requests_that_lose_a_service_are_served_elsewhere(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            calls = [
                asyncio.ensure_future(
                    fixture.call(
                        "safe", f"vm-{number % 3}", body=b"%d" % number
                    )
                )
                for number in range(9)
            ]
            await asyncio.sleep(0.03)
            fixture.cluster.crash_target(fixture.cluster.targets["service-0"])
            results = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in results}, {200})
            for node in fixture.cluster.vms.values():
                self.assertGreater(len(node.gateway.context.quarantine), 0)

        gateway_fixture.run_scenario(scenario)

    def test_long_prompts_hit_by_repeated_crashes_are_served(self) -> None:
        # A prompt whose prefill takes seconds is hit by every second crash.
        # When two crashes sufficed for a quarantine, the caller's retry was
        # refused.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            rng = random.Random(11)

            async def crash_periodically() -> None:
                while True:
                    await asyncio.sleep(1.0)
                    for name in rng.sample(_ENGINES, 3):
                        node = fixture.cluster.targets[name]
                        if not node.process.is_dead:
                            fixture.cluster.crash_target(node)

            async def send_twice(
                number: int,
            ) -> list[gateway_caller.CallResult]:
                attempts = []
                for vm in (f"vm-{number % 6}", f"vm-{(number + 1) % 6}"):
                    result = await fixture.call(
                        "long",
                        vm,
                        body=b"archive %d" % number,
                        prompt_tokens=420_000,
                        output_tokens=200,
                        time_limit_ms=15_000.0,
                    )
                    attempts.append(result)
                    if result.is_complete and result.status == 200:
                        break
                return attempts

            crashing = asyncio.ensure_future(crash_periodically())
            attempts = []
            for number in range(16):
                attempts.append(asyncio.ensure_future(send_twice(number)))
                await asyncio.sleep(1.0)
            results = [
                each for one in await asyncio.gather(*attempts) for each in one
            ]
            crashing.cancel()
            refused = [each for each in results if b"quarantined" in each.body]
            self.assertEqual(refused, [])

        gateway_fixture.run_scenario(scenario, vms=6, engines=len(_ENGINES))
