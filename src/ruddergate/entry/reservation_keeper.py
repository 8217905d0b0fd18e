"""The tasks that hold memory on targets while a request needs it.

Memory is set aside for a short time and renewed again and again, so that a VM
that dies or sleeps leaves nothing behind for long. Each reservation has a task
of its own, which ends with a release.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate import environment
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs

# Memory is to lapse well within 4 s of its last use when this VM has died.
HOLD_MS = 2_500.0
# Two renewals may fail before the memory lapses.
RENEW_MS = 800.0
# Where a target names a rate limit, memory is renewed seldom; it still lapses
# within 4 s of the end of this VM.
HOLD_LIMITED_MS = 3_500.0
RENEW_LIMITED_MS = 2_000.0
# It is also probed less often, but again soon after silence.
PROBE_LIMITED_MS = 1_600.0
SILENT_PAUSE_MS = 300.0
# A release is answered in a few milliseconds, or not before its time-out.
RELEASE_WAIT_MS = 50.0
# A target that lives answers in a few milliseconds.
SIGN_WAIT_MS = 150.0
# The engine for which memory is held is asked for a sign of life as often. This
# many times without one it is taken for dead: with the time-out of a call that
# is 2.6 s after its end at most, when 4 s are allowed to set the memory free.
SILENT_MOST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Memory that could not be set aside, and what the target answered."""

    reservation: orders.Reservation
    answer: orders.OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    """The task that renews a reservation, and what tells it to release."""

    task: asyncio.Task
    is_over: asyncio.Event


class ReservationKeeper:
    """Takes, renews and releases reservations.

    Args:
        outside: Clock.
        given: Orders that targets take.
        is_over: Returns whether a life is known to be over.
        note_life: Is told targets that are found to have ended.
        is_limited: Returns whether a target names a rate limit.
    """

    def __init__(
        self,
        outside: environment.Environment,
        given: orders.Orders,
        is_over: Callable[
            [incarnations.Incarnation], bool
        ] = lambda incarnation: False,
        note_life: Callable[[targets.Target], None] = lambda target: None,
        is_limited: Callable[[str], bool] = lambda target_id: False,
    ) -> None:
        self._outside = outside
        self._orders = given
        self._is_over = is_over
        self._note_life = note_life
        self._is_limited = is_limited
        self._kept: dict[str, _Kept] = {}
        self._log = logs.make_logger("memory")

    def __len__(self) -> int:
        return len(self._kept)

    async def take(
        self, wanted: Sequence[orders.Reservation], request_id: str
    ) -> tuple[Missing, ...]:
        """Sets memory aside everywhere; returns what could not be had.

        When something could not be had, all is given back.
        """
        answers = await asyncio.gather(
            *(self._orders.reserve(each, HOLD_MS) for each in wanted)
        )
        missing: list[Missing] = []
        for each, answer in zip(wanted, answers, strict=True):
            if answer is orders.OrderResult.DONE:
                self._keep(each)
                continue
            missing.append(Missing(each, answer))
            self._log.info(
                "Memory not had at {}: {}.",
                each.target.target_id,
                answer.value,
                request_id=request_id,
                tokens=each.tokens,
            )
            if answer is orders.OrderResult.UNKNOWN:
                # It may have been set aside all the same.
                self._keep(each)
        if missing:
            await self._give_back_now(wanted)
        return tuple(missing)

    def give_back(self, held: Sequence[orders.Reservation]) -> None:
        """Has memory released; does not wait for it."""
        for each in held:
            kept = self._kept.get(each.name)
            if kept is not None:
                kept.is_over.set()

    async def _give_back_now(self, held: Sequence[orders.Reservation]) -> None:
        """Has memory released, and waits where that is soon done.

        The next try would find its own memory in its way otherwise.
        """
        kept = [self._kept.get(each.name) for each in held]
        releasing = [each.task for each in kept if each is not None]
        self.give_back(held)
        if releasing:
            await asyncio.wait(releasing, timeout=RELEASE_WAIT_MS / 1000.0)

    async def ask_signs(
        self, asked: Sequence[targets.Target]
    ) -> tuple[orders.ProbeStatus, ...]:
        """Returns the signs of life that targets give at once, in order."""
        told = await asyncio.gather(*map(self.probe, asked))
        return tuple(each.status for each in told)

    async def probe(self, target: targets.Target) -> orders.ProbeResult:
        """Returns the sign of life that a target gives at once."""
        try:
            async with asyncio.timeout(SIGN_WAIT_MS / 1000.0):
                return await self._orders.probe(target)
        except TimeoutError:
            return orders.ProbeResult(orders.ProbeStatus.NO_RESPONSE)

    async def wait_for_silence(self, target: targets.Target) -> None:
        """Returns when a target does not answer any more.

        Memory elsewhere is held for what runs there, and an engine that dies
        in silence would have it held until the request's own patience ends.
        """
        silent = 0
        while silent < SILENT_MOST:
            pause_ms = RENEW_MS
            if self._is_limited(target.target_id):
                pause_ms = SILENT_PAUSE_MS if silent else PROBE_LIMITED_MS
            await asyncio.sleep(pause_ms / 1000.0)
            told = await self._orders.probe(target)
            silent = (
                0 if told.status is orders.ProbeStatus.ALIVE else silent + 1
            )
        self._log.warning("Target {} is silent.", target.target_id)

    def _keep(self, held: orders.Reservation) -> None:
        is_over = asyncio.Event()
        task = asyncio.ensure_future(self._renew(held, is_over))
        self._kept[held.name] = _Kept(task, is_over)
        task.add_done_callback(lambda _: self._kept.pop(held.name, None))

    async def _renew(
        self, held: orders.Reservation, is_over: asyncio.Event
    ) -> None:
        """Renews until it is over, and then releases.

        Over is told by an event: a task that is cancelled before its first
        step would end without the release.
        """
        pause_ms = RENEW_MS
        while not await _is_set_within(is_over, pause_ms):
            if self._is_over(held.target.incarnation):
                # The next life holds nothing: to renew there would set memory
                # aside for nobody.
                return
            is_limited = self._is_limited(held.target.target_id)
            hold_ms = HOLD_LIMITED_MS if is_limited else HOLD_MS
            answer = await self._orders.reserve(held, hold_ms)
            is_seldom = is_limited and answer is orders.OrderResult.DONE
            pause_ms = RENEW_LIMITED_MS if is_seldom else RENEW_MS
            if answer is orders.OrderResult.NOT_LISTENING:
                self._note_life(held.target)
            if answer is orders.OrderResult.REFUSED:
                self._log.warning("Memory lost at {}.", held.target.target_id)
                return
        answer = await self._orders.release(held)
        if answer is not orders.OrderResult.DONE:
            self._log.info(
                "Memory at {} is left to lapse: {}.",
                held.target.target_id,
                answer.value,
            )


async def _is_set_within(event: asyncio.Event, wait_ms: float) -> bool:
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            await event.wait()
    except TimeoutError:
        return False
    return True
