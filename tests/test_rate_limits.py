"""Targets that name a limit on requests, which all VMs keep together.

A target that had named a limit of 1 request a second got 12 calls within 4 s,
as no VM read the header that names it: 21 calls had begun at it in the 8 s
before, and 17 in the 7.2 s after. Four VMs had passed on answers with the
header, and the next call of one of them began 303 ms after its last. No line
of any VM mentioned the limit.
"""

import asyncio
import collections
import unittest

import loguru

from standins import gateway_caller
from standins import rate_limit_check
from tests import gateway_scene

_FLEET = {"vms": 9, "halls": 3, "engines": 6, "services": 3}
# Calls that each VM gets in a second.
_PROMPTS_PER_S = 2.0
_PLAIN_PER_S = 1.5
# A limit binds so long after it was first named.
_BINDS_S = 3.0
# Calls after which an answer of each target must have been passed on.
_TELL_MOST = 40


async def _send_load(
    scene: gateway_scene.Scene, for_s: float
) -> list[gateway_caller.CallResult]:
    """Sends calls to all VMs at a steady rate."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + for_s
    rates = (("short", _PROMPTS_PER_S), ("open", _PLAIN_PER_S))

    async def send(vm: str, route: str, pause_s: float) -> list:
        calls = []
        while loop.time() < until_s:
            calls.append(asyncio.ensure_future(scene.call(route, vm)))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*calls)

    streams = [
        send(vm, route, 1.0 / rate)
        for vm in scene.cluster.vms
        for route, rate in rates
    ]
    return [got for each in await asyncio.gather(*streams) for got in each]


class RateLimitTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_all_vms_keep_a_limit_together(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for name in ("engine-3", "service-0"):
                scene.cluster.targets[name].replica.announce_limit("1")
            got = await _send_load(scene, 14.0)
            self.assertEqual(
                rate_limit_check.find_excess(scene.cluster, got), []
            )
            # Other targets serve what these do not take.
            self.assertEqual({each.status for each in got}, {200})

        gateway_scene.play(scene, **_FLEET)

    def test_limits_are_used_where_nothing_else_is_left(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            replicas = [
                scene.cluster.targets[f"service-{number}"].replica
                for number in range(3)
            ]
            for replica in replicas:
                replica.announce_limit("2")
            got = await _send_load(scene, 14.0)
            self.assertEqual(
                rate_limit_check.find_excess(scene.cluster, got), []
            )
            served = [
                each
                for each in got
                if each.call.route == "open" and each.status == 200
            ]
            self.assertGreater(len(served), 0.9 * 3 * 2.0 * 14.0)
            refused = [each for each in got if each.status != 200]
            self.assertEqual({each.status for each in refused}, {503})
            for each in refused:
                self.assertEqual(scene.runs(each), [])
                self.assertLess(float(each.headers["retry-after"]), 6.0)
            # VMs have parts of the same size, and serve alike.
            by_vm = collections.Counter(each.call.vm for each in served)
            self.assertGreater(min(by_vm[vm] for vm in scene.cluster.vms), 5)

        gateway_scene.play(scene, **_FLEET)

    def test_target_that_takes_nothing_gets_no_calls_until_it_does(
        self,
    ) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            loop = asyncio.get_running_loop()
            replica = scene.cluster.targets["engine-3"].replica
            replica.announce_limit("0")
            load = asyncio.ensure_future(_send_load(scene, 18.0))
            await asyncio.sleep(_BINDS_S)
            before = len(replica.arrivals)
            await asyncio.sleep(5.0)
            self.assertEqual(len(replica.arrivals), before)
            ended_s = loop.time()
            replica.announce_limit("")
            got = await load
            self.assertEqual(
                rate_limit_check.find_excess(scene.cluster, got), []
            )
            came_s = [
                each.at_s - ended_s
                for each in replica.arrivals
                if each.at_s > ended_s
            ]
            # A probe finds it out within 4 s, and load comes back within 2.
            self.assertLess(came_s[0], 4.6)
            vms = len(scene.cluster.vms)
            first = [each for each in came_s if each < came_s[0] + 0.2]
            self.assertLessEqual(len(first), vms)
            later = [each for each in came_s if each > came_s[0] + 2.0]
            self.assertGreater(len(later), 8)

        gateway_scene.play(scene, **_FLEET)

    def test_engine_with_a_limit_helps_nobody(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for number in (0, 3):
                replica = scene.cluster.targets[f"engine-{number}"].replica
                replica.announce_limit("1")
            for _ in range(_TELL_MOST):
                await scene.call("short", "vm-0")
            await asyncio.sleep(_BINDS_S)
            limited = [
                scene.cluster.targets[f"engine-{number}"].replica
                for number in (0, 3)
            ]
            helped = [each.helped for each in limited]
            orders = [len(each.order_times_s) for each in limited]
            calls = [
                scene.call(
                    "long", f"vm-{n}", prompt_tokens=210_000, output_tokens=46
                )
                for n in range(3)
            ]
            got = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in got}, {200})
            self.assertEqual([each.helped for each in limited], helped)
            self.assertEqual(
                [len(each.order_times_s) for each in limited], orders
            )

        gateway_scene.play(scene, **_FLEET)

    def test_long_prompts_run_where_all_engines_name_limits(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for name, node in scene.cluster.targets.items():
                if name.startswith("engine"):
                    node.replica.announce_limit("4")
            for _ in range(_TELL_MOST):
                await scene.call("short", "vm-0")
            await asyncio.sleep(_BINDS_S)
            got = await scene.call(
                "long", prompt_tokens=210_000, output_tokens=46
            )
            self.assertEqual(got.status, 200)

        gateway_scene.play(scene, **_FLEET)

    def test_vm_that_starts_again_is_told(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            replica = scene.cluster.targets["service-0"].replica
            replica.announce_limit("1")
            load = asyncio.ensure_future(_send_load(scene, 14.0))
            await asyncio.sleep(5.0)
            node = scene.cluster.vms["vm-3"]
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            got = await load
            self.assertEqual(
                rate_limit_check.find_excess(scene.cluster, got), []
            )
            limits = node.gateway.context.scheduler
            now_ms = node.gateway.context.env.now_ms()
            limit, _ = limits.find_rate_limit(replica.name, now_ms)
            self.assertEqual(limit, 1.0)

        gateway_scene.play(scene, **_FLEET)

    def test_connection_that_fails_gives_no_token_back(self) -> None:
        """A token is taken once a connection is up, and not before."""

        async def scene(scene: gateway_scene.Scene) -> None:
            given_back: list[str] = []
            gateway = scene.cluster.vms["vm-0"].gateway
            limits = gateway._rate_limiter.limits
            limits.return_token = given_back.append
            for name, node in scene.cluster.targets.items():
                if name.startswith("service"):
                    scene.cluster.kill(node)
            await scene.call("open")
            self.assertEqual(given_back, [])

        gateway_scene.play(scene, vms=1)

    def test_malformed_limits_do_no_harm(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for text in ("-1", "nan", "many"):
                for name in ("engine-3", "service-0"):
                    replica = scene.cluster.targets[name].replica
                    replica.rate_limit = text
                got = await _send_load(scene, 2.0)
                self.assertEqual({each.status for each in got}, {200})
            arrived = len(scene.cluster.targets["service-0"].replica.arrivals)
            self.assertGreater(arrived, 15)

        gateway_scene.play(scene, **_FLEET)
