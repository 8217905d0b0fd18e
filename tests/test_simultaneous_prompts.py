"""Long prompts that VMs place before peers' placements reach them."""

import asyncio
import collections
import unittest

import loguru

from tests import gateway_fixture

_VMS = 8


class SimultaneousPromptsTest(unittest.TestCase):
    def test_vms_choose_different_engines(self) -> None:
        """All VMs get a prompt of 45,000 tokens each at the same moment."""
        segments: collections.Counter[str] = collections.Counter()
        first_ms: list[float] = []

        def count_segments(record: dict) -> bool:
            if record["message"].startswith("Attempt begins"):
                decoder = record["message"].split()[-1].rstrip(".")
                segments.update([decoder, *record["extra"]["helpers"]])
            return False

        async def send_prompt(
            fixture: gateway_fixture.Fixture, number: int
        ) -> None:
            result = await fixture.call(
                "long",
                f"vm-{number}",
                prompt_tokens=45_000,
                time_limit_ms=10_000.0,
            )
            self.assertEqual(result.status, 200)
            first_ms.append(result.first_ms)

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            async with asyncio.TaskGroup() as group:
                for number in range(_VMS):
                    group.create_task(send_prompt(fixture, number))

        loguru.logger.remove()
        loguru.logger.add(lambda _: None, filter=count_segments)
        gateway_fixture.run_scenario(scenario, vms=_VMS, halls=1, engines=32)
        loguru.logger.remove()
        print(
            len(segments),
            max(segments.values()),
            sum(first_ms) / _VMS,
            max(first_ms),
        )
        self.assertLessEqual(max(segments.values()), 3)
