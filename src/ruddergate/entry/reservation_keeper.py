"""The tasks that hold memory reservations on targets while they are needed.

Reservations are short leases that are renewed, so that memory is soon freed if
a VM dies or is suspended. Each reservation has its own task, which ends with a
release.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate import environment
from ruddergate.entry import target_liveness
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs

# If this VM or the target that uses the memory dies, it must be freed well
# within 4 s of its last use.
LEASE_MS = 2_900.0
# Two renewals may fail before the lease expires.
RENEW_INTERVAL_MS = 800.0
# Shorter leases are not asked for: a target that was paused takes the order as
# it goes on, and the lease would end before the next renewal.
MIN_HOLD_MS = 1_200.0
# If a target has a rate limit, memory is renewed less often. The lease still
# expires within 4 s of the end of this VM.
LEASE_RATE_LIMITED_MS = 3_500.0
RENEW_RATE_LIMITED_MS = 2_000.0
# Such a target is also probed less often, but again soon after a missed probe.
PROBE_RATE_LIMITED_MS = 1_600.0
REPROBE_MS = 300.0
# A release is answered within a few milliseconds, or only at its timeout.
RELEASE_TIMEOUT_MS = 50.0
# A live target answers within a few milliseconds.
PROBE_TIMEOUT_MS = 150.0
# A target that uses reserved memory and shows no sign of life for this long is
# silent, and another one is tried beside it.
UNRESPONSIVE_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedReservation:
    """A reservation that was not confirmed, and the result of the order."""

    reservation: orders.Reservation
    result: orders.OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class _Renewal:
    """The task that renews a reservation, and the event that ends it."""

    task: asyncio.Task
    released: asyncio.Event


class ReservationKeeper:
    """Makes, renews and releases reservations.

    Args:
        env: Clock.
        target_orders: Orders to targets.
        has_ended: Returns whether an incarnation is known to have ended.
        on_ended: Called with each target that is found to have ended.
        is_rate_limited: Returns whether a target has a rate limit.
    """

    def __init__(
        self,
        env: environment.Environment,
        target_orders: orders.Orders,
        has_ended: Callable[
            [incarnations.Incarnation], bool
        ] = lambda incarnation: False,
        on_ended: Callable[[targets.Target], None] = lambda target: None,
        is_rate_limited: Callable[[str], bool] = lambda target_id: False,
    ) -> None:
        self._env = env
        self._orders = target_orders
        self._has_ended = has_ended
        self._on_ended = on_ended
        self._is_rate_limited = is_rate_limited
        self._renewals: dict[str, _Renewal] = {}
        # Probes under way, by incarnation and timeout.
        self._probes: dict[
            tuple[incarnations.Incarnation, float],
            asyncio.Future[orders.ProbeResult],
        ] = {}
        self._log = logs.make_logger("memory")

    def __len__(self) -> int:
        return len(self._renewals)

    def make_liveness(
        self, target: targets.Target, request_id: str
    ) -> target_liveness.TargetLiveness:
        """Returns the signs of life of a target that uses reserved memory."""
        return target_liveness.TargetLiveness(
            self._env, target, self._orders.probe, request_id
        )

    async def reserve(
        self,
        reservations: Sequence[orders.Reservation],
        request_id: str,
        user: target_liveness.TargetLiveness | None = None,
    ) -> tuple[FailedReservation, ...]:
        """Reserves memory on all targets; returns the failed reservations.

        If one fails, all are released. A reservation is renewed only while the
        target that uses the memory is alive.

        Args:
            reservations: What to reserve.
            request_id: Id of the request, for the log.
            user: The target that uses the memory; None if it need not be
                alive.
        """
        results = await asyncio.gather(
            *(self._orders.reserve(each, LEASE_MS) for each in reservations)
        )
        failed: list[FailedReservation] = []
        for each, result in zip(reservations, results, strict=True):
            if result is orders.OrderResult.DONE:
                self._start_renewal(each, user)
                continue
            failed.append(FailedReservation(each, result))
            self._log.info(
                "Could not reserve memory at {}: {}.",
                each.target.target_id,
                result.value,
                request_id=request_id,
                tokens=each.tokens,
            )
            if result is orders.OrderResult.UNKNOWN:
                # It may have been reserved nevertheless.
                self._start_renewal(each, user)
        if failed:
            await self._release_and_wait(reservations)
        return tuple(failed)

    def release(self, held: Sequence[orders.Reservation]) -> None:
        """Starts releasing memory; does not wait for it."""
        for each in held:
            renewal = self._renewals.get(each.name)
            if renewal is not None:
                renewal.released.set()

    async def _release_and_wait(
        self, held: Sequence[orders.Reservation]
    ) -> None:
        """Releases memory, and waits a short time for that to complete.

        Otherwise the memory would still be taken in the next attempt.
        """
        renewals = [self._renewals.get(each.name) for each in held]
        releasing = [each.task for each in renewals if each is not None]
        self.release(held)
        if releasing:
            await asyncio.wait(releasing, timeout=RELEASE_TIMEOUT_MS / 1000.0)

    async def probe_all(
        self,
        probed: Sequence[targets.Target],
        timeout_ms: float = PROBE_TIMEOUT_MS,
    ) -> tuple[orders.ProbeResult, ...]:
        """Probes targets at once; returns the results in order."""
        return tuple(
            await asyncio.gather(
                *(self.probe(each, timeout_ms) for each in probed)
            )
        )

    async def probe(
        self, target: targets.Target, timeout_ms: float = PROBE_TIMEOUT_MS
    ) -> orders.ProbeResult:
        """Probes a target with a short timeout.

        Streams of one target fall silent together, so they share a probe.
        """
        key = target.incarnation, timeout_ms
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.ensure_future(
                make_probe(self._orders, timeout_ms)(target)
            )
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key))
        return await asyncio.shield(probe)

    async def wait_until_silent(
        self, user: target_liveness.TargetLiveness
    ) -> None:
        """Returns once a target that uses reserved memory is silent."""
        delay_ms = RENEW_INTERVAL_MS
        while user.silent_ms() < UNRESPONSIVE_MS:
            await asyncio.sleep(delay_ms / 1000.0)
            await user.check()
            delay_ms = RENEW_INTERVAL_MS
            if self._is_rate_limited(user.target_id):
                delay_ms = (
                    REPROBE_MS if user.missed_probes else PROBE_RATE_LIMITED_MS
                )

    def _start_renewal(
        self,
        held: orders.Reservation,
        user: target_liveness.TargetLiveness | None,
    ) -> None:
        released = asyncio.Event()
        task = asyncio.ensure_future(self._renew(held, released, user))
        self._renewals[held.name] = _Renewal(task, released)
        task.add_done_callback(lambda _: self._renewals.pop(held.name, None))

    async def _renew(
        self,
        held: orders.Reservation,
        released: asyncio.Event,
        user: target_liveness.TargetLiveness | None,
    ) -> None:
        """Renews a reservation until the event is set, then releases it.

        An event is used because a task that is cancelled before its first step
        would end without the release.
        """
        delay_ms = RENEW_INTERVAL_MS
        while not await self._is_released_within(released, delay_ms, user):
            if self._has_ended(held.target.incarnation):
                # The next incarnation has no reservation: renewing there would
                # reserve memory that nothing uses.
                return
            hold_ms, delay_ms = await self._plan_renewal(held, user)
            if hold_ms <= 0.0:
                # An order that was carried out late may have renewed it.
                self._log_expiry(held, user)
                break
            if user is not None and hold_ms < MIN_HOLD_MS:
                continue
            result = await self._orders.reserve(held, hold_ms)
            if result is not orders.OrderResult.DONE:
                delay_ms = min(delay_ms, RENEW_INTERVAL_MS)
            if result is orders.OrderResult.NOT_LISTENING:
                self._on_ended(held.target)
            if result is orders.OrderResult.REFUSED:
                self._log.warning(
                    "Memory reservation lost at {}.", held.target.target_id
                )
                return
        result = await self._orders.release(held)
        if result is not orders.OrderResult.DONE:
            self._log.info(
                "Memory at {} was not released and will expire: {}.",
                held.target.target_id,
                result.value,
            )

    async def _is_released_within(
        self,
        released: asyncio.Event,
        wait_ms: float,
        user: target_liveness.TargetLiveness | None,
    ) -> bool:
        """Waits for the event; returns whether it was set in time."""
        due_ms = self._env.now_ms() + wait_ms
        if await _is_set_within(released, wait_ms):
            return True
        is_late = self._env.now_ms() - due_ms > target_liveness.FRESH_MS
        if user is not None and is_late:
            user.note_late_timer(due_ms)
        return False

    async def _plan_renewal(
        self,
        held: orders.Reservation,
        user: target_liveness.TargetLiveness | None,
    ) -> tuple[float, float]:
        """Returns the next lease, and the delay after its renewal, in ms.

        The lease ends at the same time after the last sign of life of its user,
        however often it is renewed.
        """
        if user is not None:
            await user.check()
        is_rate_limited = self._is_rate_limited(held.target.target_id) or (
            user is not None and self._is_rate_limited(user.target_id)
        )
        hold_ms, delay_ms = LEASE_MS, RENEW_INTERVAL_MS
        if is_rate_limited:
            hold_ms, delay_ms = LEASE_RATE_LIMITED_MS, RENEW_RATE_LIMITED_MS
        if user is not None:
            hold_ms -= user.silent_ms()
            if user.missed_probes:
                delay_ms = REPROBE_MS
        return hold_ms, delay_ms

    def _log_expiry(
        self, held: orders.Reservation, user: target_liveness.TargetLiveness
    ) -> None:
        self._log.warning(
            "Memory at {} expires, as target {} that uses it is silent.",
            held.target.target_id,
            user.target_id,
            request_id=user.request_id,
            tokens=held.tokens,
            missed=user.missed_probes,
            silent_ms=round(user.silent_ms()),
        )


def make_probe(
    target_orders: orders.Orders, timeout_ms: float = PROBE_TIMEOUT_MS
) -> Callable[[targets.Target], Awaitable[orders.ProbeResult]]:
    """Returns a function that probes a target with a short timeout."""

    async def probe(target: targets.Target) -> orders.ProbeResult:
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await target_orders.probe(target)
        except TimeoutError:
            return orders.ProbeResult(orders.ProbeStatus.NO_RESPONSE)

    return probe


async def _is_set_within(event: asyncio.Event, wait_ms: float) -> bool:
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            await event.wait()
    except TimeoutError:
        return False
    return True
