"""Long prompts: which engines prefill them, and what that costs others."""

import asyncio
import unittest

from ruddergate.decisions import prefill_plan
from standins import iteration_engine
from standins import virtual_process

_MAX_PARTS = 17
_LONG_PROMPT_TOKENS = 210_000
_LONG_PROMPT_MS = 2_840.0


def _make_engine(
    name: str,
    backlog_ms: float = 0.0,
    decoding_streams: tuple[int, ...] = (0, 0, 0),
    has_room: bool = True,
) -> prefill_plan.Engine:
    return prefill_plan.Engine(name, backlog_ms, decoding_streams, has_room)


def _make_plan(
    engines: list[prefill_plan.Engine],
    tokens: int = _LONG_PROMPT_TOKENS,
    prefill_ms: float = _LONG_PROMPT_MS,
    holders: int = 1,
    waited_ms: float = 0.0,
) -> prefill_plan.Plan | None:
    return prefill_plan.make_plan(
        prefill_ms, tokens, 3_000.0, waited_ms, engines, holders, _MAX_PARTS
    )


class PrefillPlanTest(unittest.TestCase):
    def test_idle_engines_share_until_in_time_with_a_margin(self) -> None:
        plan = _make_plan([_make_engine(f"e{n}") for n in range(12)])
        self.assertGreater(len(plan.engines), 3)
        self.assertLess(plan.ttft_ms, 1_000.0)
        self.assertEqual(plan.decode_loss, 0.0)

    def test_engines_that_decode_strict_streams_are_spared(self) -> None:
        idle = [_make_engine(f"idle{n}") for n in range(4)]
        busy = [
            _make_engine(f"busy{n}", decoding_streams=(4, 0, 0))
            for n in range(8)
        ]
        plan = _make_plan([*busy, *idle])
        self.assertTrue(all(name.startswith("idle") for name in plan.engines))

    def test_short_segments_cost_streams_nothing(self) -> None:
        busy = [
            _make_engine(f"e{n}", decoding_streams=(0, 3, 0)) for n in range(12)
        ]
        plan = _make_plan(busy)
        self.assertEqual(plan.decode_loss, 0.0)
        self.assertGreaterEqual(len(plan.engines), 7)

    def test_large_prompt_outweighs_a_few_strict_streams(self) -> None:
        engines = [_make_engine("idle")]
        engines += [
            _make_engine(f"e{n}", decoding_streams=(1, 0, 0)) for n in range(5)
        ]
        plan = _make_plan(engines)
        self.assertGreater(len(plan.engines), 1)

    def test_two_segments_in_one_iteration_add_up(self) -> None:
        prefilling = [
            _make_engine(f"e{n}", backlog_ms=300.0, decoding_streams=(0, 2, 0))
            for n in range(6)
        ]
        free = [
            _make_engine(f"f{n}", decoding_streams=(0, 2, 0)) for n in range(8)
        ]
        plan = _make_plan([*prefilling, *free])
        self.assertTrue(all(name.startswith("f") for name in plan.engines))

    def test_engines_that_prefill_a_large_prompt_are_spared(self) -> None:
        value = prefill_plan.estimate_value(_LONG_PROMPT_TOKENS)
        prefilling = [
            prefill_plan.Engine(f"e{n}", 600.0, (0, 0, 0), True, value)
            for n in range(9)
        ]
        free = [_make_engine(f"f{n}") for n in range(6)]
        plan = _make_plan([*prefilling, *free])
        self.assertTrue(all(name.startswith("f") for name in plan.engines))
        self.assertEqual(plan.prefill_loss, 0.0)
        self.assertGreater(_make_plan(prefilling).prefill_loss, 1.0)

    def test_pinned_engine_decodes(self) -> None:
        pinned = prefill_plan.Engine(
            "p", 900.0, (3, 0, 0), True, 0.0, 0.0, True
        )
        plan = _make_plan([*(_make_engine(f"e{n}") for n in range(8)), pinned])
        self.assertEqual(plan.engines[0], "p")

    def test_engines_are_not_blocked_for_long(self) -> None:
        # The prompt is late on so few engines, yet all of them take part.
        plan = _make_plan(
            [_make_engine(f"e{n}") for n in range(6)], prefill_ms=24_000.0
        )
        self.assertEqual(len(plan.engines), 6)

    def test_holders_have_room(self) -> None:
        full = [_make_engine(f"full{n}", has_room=False) for n in range(4)]
        room = [_make_engine(f"room{n}") for n in range(3)]
        plan = _make_plan([*full, *room], tokens=1_000_000, holders=3)
        self.assertEqual(set(plan.engines[:3]), {"room0", "room1", "room2"})
        self.assertIsNone(_make_plan([*full, *room], holders=4))

    def test_without_engines_there_is_no_plan(self) -> None:
        self.assertIsNone(_make_plan([]))

    def test_longer_prompts_have_a_higher_value(self) -> None:
        values = [
            prefill_plan.estimate_value(tokens)
            for tokens in (5_000, 45_000, 210_000)
        ]
        self.assertEqual(values, sorted(values))
        self.assertAlmostEqual(values[0], 1.0)


class IterationEngineTest(unittest.TestCase):
    """The emulated engine matches the published figures."""

    def test_whole_prompt_takes_its_published_time(self) -> None:
        async def run() -> float:
            engine = iteration_engine.IterationEngine(
                iteration_engine.EngineSpec()
            )
            running = asyncio.ensure_future(engine.run())
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await engine.prefill(_LONG_PROMPT_TOKENS, _LONG_PROMPT_TOKENS)
            running.cancel()
            return (loop.time() - began_s) * 1000.0

        took_ms = virtual_process.run(run)
        # Each iteration has a fixed cost in addition to its tokens and pairs.
        self.assertAlmostEqual(took_ms, _LONG_PROMPT_MS + 95.0, delta=20.0)
