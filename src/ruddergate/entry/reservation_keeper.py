"""The tasks that hold memory on targets while a request needs it.

Memory is set aside for a short time and renewed again and again, so that a VM
that dies or sleeps leaves nothing behind for long. Each reservation has a task
of its own, which ends with a release.
"""

import asyncio
from collections.abc import Sequence

from ruddergate import environment
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs

# Memory is to lapse well within 4 s of its last use when this VM has died.
HOLD_MS = 2_500.0
# Two renewals may fail before the memory lapses.
RENEW_MS = 800.0
# The engine for which memory is held is asked for a sign of life as often. This
# many times without one it is taken for dead: with the time-out of a call that
# is 2.6 s after its end at most, when 4 s are allowed to set the memory free.
SILENT_MOST = 2


class ReservationKeeper:
    """Takes, renews and releases reservations.

    Args:
        outside: Clock.
        given: Orders that targets take.
    """

    def __init__(
        self, outside: environment.Environment, given: orders.Orders
    ) -> None:
        self._outside = outside
        self._orders = given
        self._tasks: dict[str, asyncio.Task] = {}
        self._log = logs.make_logger("memory")

    def __len__(self) -> int:
        return len(self._tasks)

    async def take(
        self, wanted: Sequence[orders.Reservation], request_id: str
    ) -> orders.Reservation | None:
        """Sets memory aside everywhere; returns what could not be had.

        When something could not be had, all is given back.
        """
        answers = await asyncio.gather(
            *(self._orders.reserve(each, HOLD_MS) for each in wanted)
        )
        missing: orders.Reservation | None = None
        for each, answer in zip(wanted, answers, strict=True):
            if answer is orders.Answer.DONE:
                self._keep(each)
                continue
            missing = missing or each
            self._log.info(
                "Memory not had at {}: {}.",
                each.target.target_id,
                answer.value,
                request_id=request_id,
                tokens=each.tokens,
            )
            if answer is orders.Answer.UNKNOWN:
                # It may have been set aside all the same.
                self._keep(each)
        if missing is not None:
            self.give_back(wanted)
        return missing

    def give_back(self, held: Sequence[orders.Reservation]) -> None:
        """Has memory released; does not wait for it."""
        for each in held:
            task = self._tasks.get(each.name)
            if task is not None:
                task.cancel()

    async def wait_for_silence(self, target: targets.Target) -> None:
        """Returns when a target does not answer any more.

        Memory elsewhere is held for what runs there, and an engine that dies
        in silence would have it held until the request's own patience ends.
        """
        silent = 0
        while silent < SILENT_MOST:
            await asyncio.sleep(RENEW_MS / 1000.0)
            silent = 0 if await self._orders.ask_alive(target) else silent + 1
        self._log.warning("Target {} is silent.", target.target_id)

    def _keep(self, held: orders.Reservation) -> None:
        task = asyncio.ensure_future(self._renew(held))
        self._tasks[held.name] = task
        task.add_done_callback(lambda _: self._tasks.pop(held.name, None))

    async def _renew(self, held: orders.Reservation) -> None:
        try:
            while True:
                await asyncio.sleep(RENEW_MS / 1000.0)
                answer = await self._orders.reserve(held, HOLD_MS)
                if answer is orders.Answer.REFUSED:
                    self._log.warning(
                        "Memory lost at {}.", held.target.target_id
                    )
                    return
        except asyncio.CancelledError:
            pass
        answer = await self._orders.release(held)
        if answer is not orders.Answer.DONE:
            self._log.info(
                "Memory at {} is left to lapse: {}.",
                held.target.target_id,
                answer.value,
            )
