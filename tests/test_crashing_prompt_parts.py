"""Requests with a part in their prompts that crashes engines."""

import asyncio
import unittest

import loguru

from standins import gateway_guarantees
from tests import gateway_fixture
from tests import poison_part_traffic as traffics

# Asked is half of the share before.
_MIN_SOUND_SHARE = 0.5
_SIZES = {"vms": 6, "engines": 18}
_EVENLY = [0.25] * 80
_BURSTS = ([4.0] + [0.001] * 5) * 6


class CrashingPartTest(unittest.TestCase):
    """A part that crashes engines must reach a bounded number of them.

    Callers sent ever new requests with one part in common, each of which
    crashed two engines at each try. 60 engines ended, as crashes were counted
    for requests with the same content only, and no two of these were alike.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_middle_part_is_recognized(self) -> None:
        self._check(("system", traffics.POISON_PART), _EVENLY)

    def test_first_part_is_recognized(self) -> None:
        self._check((traffics.POISON_PART, "document"), _EVENLY)

    def test_part_is_recognized_beside_a_companion(self) -> None:
        self._check(("system", "companion", traffics.POISON_PART), _EVENLY)

    def test_bursts_of_requests_are_recognized(self) -> None:
        self._check(("system", traffics.POISON_PART), _BURSTS)

    def test_part_that_turns_is_recognized(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            sender = traffics.Sender(fixture)
            parts = ("system", traffics.POISON_PART)
            await sender.send_sound(3.0, parts)
            turned_s = asyncio.get_running_loop().time()
            fixture.cluster.poison_parts.add(traffics.POISON_PART)
            await asyncio.gather(
                sender.send_sound(22.0), sender.send_poison(parts, _EVENLY)
            )
            late = traffics.find_late_runs(fixture.cluster, from_s=turned_s)
            self.assertLessEqual(late, traffics.LATE_RUNS_MAX)

        gateway_fixture.run_scenario(scenario, **_SIZES)

    def _check(self, parts: tuple[str, ...], pauses_s: list[float]) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.poison_parts.add(traffics.POISON_PART)
            sender = traffics.Sender(fixture)
            began_s = asyncio.get_running_loop().time()
            await sender.send_sound(4.0)
            await asyncio.gather(
                sender.send_sound(24.0), sender.send_poison(parts, pauses_s)
            )
            self.assertLessEqual(
                traffics.find_late_runs(cluster), traffics.LATE_RUNS_MAX
            )
            results = sender.traffic.sound
            before = traffics.measure_first_tries(
                results, began_s, began_s + 4.0
            )
            self.assertEqual(before, 1.0)
            # Twice the time in which VMs in touch learn of a crash.
            after = traffics.measure_first_tries(
                results,
                began_s + 4.0 + 2.0 * traffics.CONTACT_S + 4.0,
                began_s + 28.0,
            )
            self.assertGreaterEqual(after, _MIN_SOUND_SHARE)
            self.assertEqual(
                gateway_guarantees.find_broken(
                    cluster, [*results, *sender.traffic.poison]
                ),
                [],
            )

        gateway_fixture.run_scenario(scenario, **_SIZES)
