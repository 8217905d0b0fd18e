"""Requests that wait for a VM's first settings.

The time limit of a request counts from its arrival. If it is counted from the
first settings instead, a VM that starts while the store is away answers too
late and gives the target more time than the caller will wait.
"""

import asyncio
import unittest

import loguru

from tests import gateway_fixture

_TIME_LIMIT_MS = 2_000.0
# For the way of the response back to the caller, and for late timers.
_SLACK_MS = 100.0
_OUTAGE_S = 0.7


class StartupDeadlineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_wait_for_settings_counts_towards_the_time_limit(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            fixture.inject_faults("engine", mute=True)
            cluster.store.failure = "busy"
            node = cluster.vms["vm-0"]
            cluster.kill(node)
            cluster.start_vm(node)
            await asyncio.sleep(0.05)
            call = asyncio.ensure_future(
                fixture.call("once", time_limit_ms=_TIME_LIMIT_MS)
            )
            await asyncio.sleep(_OUTAGE_S)
            cluster.store.failure = ""
            result = await call
            self.assertEqual(result.status, 504)
            self.assertLessEqual(result.took_ms, _TIME_LIMIT_MS + _SLACK_MS)

        gateway_fixture.run_scenario(scenario)
