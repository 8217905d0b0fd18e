"""Long prompts that many VMs place before they have heard of each other."""

import asyncio
import collections
import unittest

import loguru

from tests import gateway_scene

_VMS = 8


class SimultaneousPromptsTest(unittest.TestCase):
    def test_vms_choose_different_engines(self) -> None:
        """A burst: each VM gets a prompt of 45,000 tokens in one moment."""
        segments: collections.Counter[str] = collections.Counter()
        first_ms: list[float] = []

        def count_segments(record: dict) -> bool:
            if record["message"].startswith("Attempt begins"):
                decoder = record["message"].split()[-1].rstrip(".")
                segments.update([decoder, *record["extra"]["helpers"]])
            return False

        async def send_prompt(scene: gateway_scene.Scene, number: int) -> None:
            got = await scene.call(
                "long",
                f"vm-{number}",
                prompt_tokens=45_000,
                time_limit_ms=10_000.0,
            )
            self.assertEqual(got.status, 200)
            first_ms.append(got.first_ms)

        async def scene(scene: gateway_scene.Scene) -> None:
            async with asyncio.TaskGroup() as group:
                for number in range(_VMS):
                    group.create_task(send_prompt(scene, number))

        loguru.logger.remove()
        loguru.logger.add(lambda _: None, filter=count_segments)
        gateway_scene.play(scene, vms=_VMS, halls=1, engines=32)
        loguru.logger.remove()
        print(
            len(segments),
            max(segments.values()),
            sum(first_ms) / _VMS,
            max(first_ms),
        )
        self.assertLessEqual(max(segments.values()), 3)
