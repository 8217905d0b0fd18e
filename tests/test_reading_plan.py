"""Long prompts: on which engines they are read, and what that costs others."""

import asyncio
import unittest

from ruddergate.decisions import prefill_plan
from standins import iteration_engine
from standins import virtual_process

_PARTS_MOST = 17
_ARCHIVE_TOKENS = 210_000
_ARCHIVE_MS = 2_840.0


def _engine(
    name: str,
    rest_ms: float = 0.0,
    answers: tuple[int, ...] = (0, 0, 0),
    has_room: bool = True,
) -> prefill_plan.Engine:
    return prefill_plan.Engine(name, rest_ms, answers, has_room)


def _plan(
    engines: list[prefill_plan.Engine],
    tokens: int = _ARCHIVE_TOKENS,
    whole_ms: float = _ARCHIVE_MS,
    holders: int = 1,
    waited_ms: float = 0.0,
) -> prefill_plan.Plan | None:
    return prefill_plan.make_plan(
        whole_ms, tokens, 3_000.0, waited_ms, engines, holders, _PARTS_MOST
    )


class ReadingPlanTest(unittest.TestCase):
    def test_idle_engines_share_until_it_is_surely_in_time(self) -> None:
        plan = _plan([_engine(f"e{n}") for n in range(12)])
        self.assertGreater(len(plan.engines), 3)
        self.assertLess(plan.ttft_ms, 1_000.0)
        self.assertEqual(plan.decode_loss, 0.0)

    def test_short_answers_are_spared(self) -> None:
        idle = [_engine(f"idle{n}") for n in range(4)]
        busy = [_engine(f"busy{n}", answers=(4, 0, 0)) for n in range(8)]
        plan = _plan([*busy, *idle])
        self.assertTrue(all(name.startswith("idle") for name in plan.engines))

    def test_pieces_short_enough_harm_nobody(self) -> None:
        busy = [_engine(f"e{n}", answers=(0, 3, 0)) for n in range(12)]
        plan = _plan(busy)
        self.assertEqual(plan.decode_loss, 0.0)
        self.assertGreaterEqual(len(plan.engines), 7)

    def test_great_prompt_outweighs_a_few_short_answers(self) -> None:
        engines = [_engine("idle")]
        engines += [_engine(f"e{n}", answers=(1, 0, 0)) for n in range(5)]
        plan = _plan(engines)
        self.assertGreater(len(plan.engines), 1)

    def test_two_pieces_in_one_pass_count_together(self) -> None:
        reading = [
            _engine(f"e{n}", rest_ms=300.0, answers=(0, 2, 0)) for n in range(6)
        ]
        free = [_engine(f"f{n}", answers=(0, 2, 0)) for n in range(8)]
        plan = _plan([*reading, *free])
        self.assertTrue(all(name.startswith("f") for name in plan.engines))

    def test_pieces_stay_off_engines_that_read_a_great_prompt(self) -> None:
        worth = prefill_plan.estimate_value(_ARCHIVE_TOKENS)
        reading = [
            prefill_plan.Engine(f"e{n}", 600.0, (0, 0, 0), True, worth)
            for n in range(9)
        ]
        free = [_engine(f"f{n}") for n in range(6)]
        plan = _plan([*reading, *free])
        self.assertTrue(all(name.startswith("f") for name in plan.engines))
        self.assertEqual(plan.prefill_loss, 0.0)
        self.assertGreater(_plan(reading).prefill_loss, 1.0)

    def test_pinned_engine_writes(self) -> None:
        pinned = prefill_plan.Engine(
            "p", 900.0, (3, 0, 0), True, 0.0, 0.0, True
        )
        plan = _plan([*(_engine(f"e{n}") for n in range(8)), pinned])
        self.assertEqual(plan.engines[0], "p")

    def test_engines_are_not_blocked_for_long(self) -> None:
        # It can't be in time on so few engines; yet all of them take part.
        plan = _plan([_engine(f"e{n}") for n in range(6)], whole_ms=24_000.0)
        self.assertEqual(len(plan.engines), 6)

    def test_holders_have_room(self) -> None:
        full = [_engine(f"full{n}", has_room=False) for n in range(4)]
        room = [_engine(f"room{n}") for n in range(3)]
        plan = _plan([*full, *room], tokens=1_000_000, holders=3)
        self.assertEqual(set(plan.engines[:3]), {"room0", "room1", "room2"})
        self.assertIsNone(_plan([*full, *room], holders=4))

    def test_without_engines_there_is_no_plan(self) -> None:
        self.assertIsNone(_plan([]))

    def test_more_worth_for_longer_prompts(self) -> None:
        worths = [
            prefill_plan.estimate_value(tokens)
            for tokens in (5_000, 45_000, 210_000)
        ]
        self.assertEqual(worths, sorted(worths))
        self.assertAlmostEqual(worths[0], 1.0)


class PassEngineTest(unittest.TestCase):
    """The emulated engine keeps to the published figures."""

    def test_whole_prompt_takes_its_published_time(self) -> None:
        async def run() -> float:
            engine = iteration_engine.IterationEngine(
                iteration_engine.EngineSpec()
            )
            running = asyncio.ensure_future(engine.run())
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await engine.prefill(_ARCHIVE_TOKENS, _ARCHIVE_TOKENS)
            running.cancel()
            return (loop.time() - began_s) * 1000.0

        took_ms = virtual_process.run(run)
        # Beside reading and pairs, each step of a chunk takes its own time.
        self.assertAlmostEqual(took_ms, _ARCHIVE_MS + 95.0, delta=20.0)
