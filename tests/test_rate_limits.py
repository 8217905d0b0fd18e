"""Rate limits that targets report and all VMs enforce together.

If VMs ignore the header with the limit, a target gets as many requests as
before: one with a limit of 1 request a second got 12 within 4 s.
"""

import asyncio
import collections
import unittest

import loguru

from standins import gateway_caller
from standins import rate_limit_check
from tests import gateway_fixture

_FLEET = {"vms": 9, "halls": 3, "engines": 6, "services": 3}
# Calls that each VM gets per second.
_PROMPTS_PER_S = 2.0
_PLAIN_CALLS_PER_S = 1.5
# A limit is in force this long after it was first reported.
_ENFORCED_AFTER_S = 3.0
# After this many calls, every target has responded to one.
_MAX_CALLS_UNTIL_KNOWN = 40


async def _send_load(
    fixture: gateway_fixture.Fixture, duration_s: float
) -> list[gateway_caller.CallResult]:
    """Sends calls to all VMs at a steady rate."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + duration_s
    rates = (("short", _PROMPTS_PER_S), ("open", _PLAIN_CALLS_PER_S))

    async def send(vm: str, route: str, pause_s: float) -> list:
        calls = []
        while loop.time() < until_s:
            calls.append(asyncio.ensure_future(fixture.call(route, vm)))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*calls)

    streams = [
        send(vm, route, 1.0 / rate)
        for vm in fixture.cluster.vms
        for route, rate in rates
    ]
    return [
        result for each in await asyncio.gather(*streams) for result in each
    ]


class RateLimitTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_all_vms_enforce_a_limit_together(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for name in ("engine-3", "service-0"):
                fixture.cluster.targets[name].replica.announce_limit("1")
            results = await _send_load(fixture, 14.0)
            self.assertEqual(
                rate_limit_check.find_excess(fixture.cluster, results), []
            )
            # Other targets serve what exceeds the limits.
            self.assertEqual({each.status for each in results}, {200})

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_limits_are_used_in_full_if_all_targets_are_limited(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            replicas = [
                fixture.cluster.targets[f"service-{number}"].replica
                for number in range(3)
            ]
            for replica in replicas:
                replica.announce_limit("2")
            results = await _send_load(fixture, 14.0)
            self.assertEqual(
                rate_limit_check.find_excess(fixture.cluster, results), []
            )
            served = [
                each
                for each in results
                if each.call.route == "open" and each.status == 200
            ]
            self.assertGreater(len(served), 0.9 * 3 * 2.0 * 14.0)
            refused = [each for each in results if each.status != 200]
            self.assertEqual({each.status for each in refused}, {503})
            for each in refused:
                self.assertEqual(fixture.find_runs(each), [])
                self.assertLess(float(each.headers["retry-after"]), 6.0)
            # All VMs hold equal shares, so each serves some calls.
            by_vm = collections.Counter(each.call.vm for each in served)
            self.assertGreater(min(by_vm[vm] for vm in fixture.cluster.vms), 5)

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_target_with_limit_zero_gets_no_requests_until_the_limit_ends(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            loop = asyncio.get_running_loop()
            replica = fixture.cluster.targets["engine-3"].replica
            replica.announce_limit("0")
            load = asyncio.ensure_future(_send_load(fixture, 18.0))
            await asyncio.sleep(_ENFORCED_AFTER_S)
            before = len(replica.arrivals)
            await asyncio.sleep(5.0)
            self.assertEqual(len(replica.arrivals), before)
            ended_s = loop.time()
            replica.announce_limit("")
            results = await load
            self.assertEqual(
                rate_limit_check.find_excess(fixture.cluster, results), []
            )
            arrivals_s = [
                each.at_s - ended_s
                for each in replica.arrivals
                if each.at_s > ended_s
            ]
            # A probe finds the limit ended within 4 s; load is back 2 s later.
            self.assertLess(arrivals_s[0], 4.6)
            vms = len(fixture.cluster.vms)
            first = [each for each in arrivals_s if each < arrivals_s[0] + 0.2]
            self.assertLessEqual(len(first), vms)
            later = [each for each in arrivals_s if each > arrivals_s[0] + 2.0]
            self.assertGreater(len(later), 8)

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_engine_with_a_limit_is_not_chosen_as_helper(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for number in (0, 3):
                replica = fixture.cluster.targets[f"engine-{number}"].replica
                replica.announce_limit("1")
            for _ in range(_MAX_CALLS_UNTIL_KNOWN):
                await fixture.call("short", "vm-0")
            await asyncio.sleep(_ENFORCED_AFTER_S)
            limited = [
                fixture.cluster.targets[f"engine-{number}"].replica
                for number in (0, 3)
            ]
            helped = [each.helped for each in limited]
            orders = [len(each.order_times_s) for each in limited]
            calls = [
                fixture.call(
                    "long", f"vm-{n}", prompt_tokens=210_000, output_tokens=46
                )
                for n in range(3)
            ]
            results = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in results}, {200})
            self.assertEqual([each.helped for each in limited], helped)
            self.assertEqual(
                [len(each.order_times_s) for each in limited], orders
            )

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_long_prompts_run_if_all_engines_are_limited(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for name, node in fixture.cluster.targets.items():
                if name.startswith("engine"):
                    node.replica.announce_limit("4")
            for _ in range(_MAX_CALLS_UNTIL_KNOWN):
                await fixture.call("short", "vm-0")
            await asyncio.sleep(_ENFORCED_AFTER_S)
            result = await fixture.call(
                "long", prompt_tokens=210_000, output_tokens=46
            )
            self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_restarted_vm_learns_the_limit(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            replica = fixture.cluster.targets["service-0"].replica
            replica.announce_limit("1")
            load = asyncio.ensure_future(_send_load(fixture, 14.0))
            await asyncio.sleep(5.0)
            node = fixture.cluster.vms["vm-3"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            results = await load
            self.assertEqual(
                rate_limit_check.find_excess(fixture.cluster, results), []
            )
            limits = node.gateway.context.scheduler
            now_ms = node.gateway.context.env.now_ms()
            limit, _ = limits.find_rate_limit(replica.name, now_ms)
            self.assertEqual(limit, 1.0)

        gateway_fixture.run_scenario(scenario, **_FLEET)

    def test_failed_connection_returns_no_token(self) -> None:
        """A token is taken only once the connection is established."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            returned: list[str] = []
            gateway = fixture.cluster.vms["vm-0"].gateway
            limits = gateway._rate_limiter.limits
            limits.return_token = returned.append
            for name, node in fixture.cluster.targets.items():
                if name.startswith("service"):
                    fixture.cluster.kill(node)
            await fixture.call("open")
            self.assertEqual(returned, [])

        gateway_fixture.run_scenario(scenario, vms=1)

    def test_malformed_limits_are_ignored(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for text in ("-1", "nan", "many"):
                for name in ("engine-3", "service-0"):
                    replica = fixture.cluster.targets[name].replica
                    replica.rate_limit = text
                results = await _send_load(fixture, 2.0)
                self.assertEqual({each.status for each in results}, {200})
            arrived = len(fixture.cluster.targets["service-0"].replica.arrivals)
            self.assertGreater(arrived, 15)

        gateway_fixture.run_scenario(scenario, **_FLEET)
