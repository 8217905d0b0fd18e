"""A target that sends without end, in a fleet: others are served as before."""

import asyncio
import unittest

import loguru

from ruddergate import environment
from standins import flooding_target
from standins import gateway_caller
from standins import virtual_process
from tests import gateway_fixture

_ADDRESS = environment.Address("flooding", 90)
_VMS = 8
_REQUESTS = 400
_INTERVAL_S = 0.01
_INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_FLOOD_PIECE = flooding_target.make_piece(_INTERIM_RESPONSE, 4_096)


async def _add_flooding_service(
    fixture: gateway_fixture.Fixture,
) -> flooding_target.Flood:
    """Lists a target of the plain service that floods; returns its flood."""
    flood = flooding_target.Flood(b"", _FLOOD_PIECE)
    cluster = fixture.cluster
    process = virtual_process.VirtualProcess(_ADDRESS.host, "hall-0")
    env = cluster.network.make_environment(process, 1)
    await process.start(
        lambda: flooding_target.start_flood(env, _ADDRESS, flood)
    )
    sound = next(
        node for name, node in cluster.targets.items() if "service" in name
    )
    cluster.store.put(
        "servers/flooding",
        {
            "service": sound.service,
            "address": str(_ADDRESS),
            "zone": "hall-0",
            "slots": 8,
            "state": "ready",
        },
    )
    await asyncio.sleep(2.0)
    return flood


async def _send_lookups(
    fixture: gateway_fixture.Fixture,
) -> list[gateway_caller.CallResult]:
    calls = []
    for number in range(_REQUESTS):
        vm = f"vm-{number % _VMS}"
        calls.append(asyncio.ensure_future(fixture.call("safe", vm)))
        await asyncio.sleep(_INTERVAL_S)
    return await asyncio.gather(*calls)


class FloodingTargetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    # Each VM had to find out by itself, at the cost of its own requests.
    def test_peers_avoid_a_target_that_flooded_one_vm(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            flood = await _add_flooding_service(fixture)
            results = await _send_lookups(fixture)
            unserved = [each for each in results if each.status != 200]
            self.assertEqual(unserved, [])
            # Without gossip each VM tries it again every 0.5 s to 8 s.
            self.assertLessEqual(flood.connections, 2 * _VMS)

        gateway_fixture.run_scenario(scenario, vms=_VMS, halls=1, services=4)
