"""Probes targets that a peer reported as ended, over this VM's own links.

A target that responds refutes the report, for the whole fleet: a VM that is cut
off from it can't tell a refused connection from a crash. For a while no VM may
reach it, so it is probed again while the report stands. A target that merely
does not respond may be suspended. That confirms nothing, and if a connection to
it is accepted, the process listens that has the address.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

from ruddergate import environment
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders

# Jitter before a probe. The first refutation spares the other VMs theirs.
MAX_JITTER_MS = 20.0
# Interval of further probes.
INTERVAL_MS = (200.0, 400.0)
# How long a listener that does not tell its start is taken for the target.
# After that, another one may listen at the address of one that has ended.
MAX_UNIDENTIFIED_MS = 1_000.0


class Verdict(enum.Enum):
    """What a probe shows about the reported end of a target.

    Attributes:
        ALIVE: This incarnation has responded, or something has of which it is
            too early to be another target.
        LISTENING: Something listens at its address, perhaps another target.
        ENDED: Nothing listens at its address, or a later incarnation does.
        UNKNOWN: None of these, as when nothing came back.
    """

    ALIVE = "alive"
    LISTENING = "listening"
    ENDED = "ended"
    UNKNOWN = "unknown"


class EndVerifier:
    """Verifies reported ends; one per process.

    Args:
        env: Clock and random numbers.
        probe: Sends a health probe to a target, not through peers.
        is_listening: Returns whether a target accepts a connection, not through
            peers.
        is_reported: Returns whether a target is still reported as ended, and
            still listed.
        is_refuted: Returns whether a report was refuted just now.
        is_rate_limited: Returns whether a target has a rate limit, which the
            probes of several VMs would exceed.
        on_verified: Called with each probed target, and what that shows.
    """

    def __init__(
        self,
        env: environment.Environment,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        is_listening: Callable[[targets.Target], Awaitable[bool]],
        is_reported: Callable[[incarnations.Incarnation], bool],
        is_refuted: Callable[[incarnations.Incarnation], bool],
        is_rate_limited: Callable[[str], bool],
        on_verified: Callable[[targets.Target, Verdict], None],
    ) -> None:
        self._env = env
        self._probe = probe
        self._is_listening = is_listening
        self._is_reported = is_reported
        self._is_refuted = is_refuted
        self._is_rate_limited = is_rate_limited
        self._on_verified = on_verified
        self._tasks: dict[incarnations.Incarnation, asyncio.Task] = {}

    def verify(self, target: targets.Target, is_own: bool) -> None:
        """Starts to probe a target, unless that is being done.

        Args:
            target: The target.
            is_own: Whether this VM has just found that it has ended.
        """
        incarnation = target.incarnation
        if incarnation in self._tasks:
            return
        first_ms = INTERVAL_MS if is_own else (0.0, MAX_JITTER_MS)
        task = asyncio.ensure_future(self._verify(target, first_ms))
        self._tasks[incarnation] = task
        task.add_done_callback(lambda _: self._tasks.pop(incarnation, None))

    async def _verify(
        self, target: targets.Target, first_ms: tuple[float, float]
    ) -> None:
        """Probes a target until it responds, or the report is dropped."""
        until_ms = self._env.now_ms() + MAX_UNIDENTIFIED_MS
        await self._pause(first_ms)
        while not self._is_refuted(target.incarnation):
            verdict = await self._find_verdict(target, until_ms)
            self._on_verified(target, verdict)
            await self._pause(INTERVAL_MS)
            if verdict is Verdict.ALIVE:
                return
            if not self._is_reported(target.incarnation):
                return

    async def _pause(self, range_ms: tuple[float, float]) -> None:
        pause_ms = self._env.random.uniform(*range_ms)
        await asyncio.sleep(pause_ms / 1000.0)

    async def _find_verdict(
        self, target: targets.Target, until_ms: float
    ) -> Verdict:
        """Probes a target; returns what that shows.

        Args:
            target: The target.
            until_ms: Until when a listener need not tell its start.
        """
        if self._is_rate_limited(target.target_id):
            return Verdict.UNKNOWN
        result = await self._probe(target)
        if result.status is orders.ProbeStatus.NOT_LISTENING:
            return Verdict.ENDED
        if (
            result.status is orders.ProbeStatus.NO_RESPONSE
            and not await self._is_listening(target)
        ):
            return Verdict.UNKNOWN
        if result.started_ms == incarnations.START_UNKNOWN:
            is_early = self._env.now_ms() <= until_ms
            return Verdict.ALIVE if is_early else Verdict.LISTENING
        if result.started_ms == target.started_ms:
            return Verdict.ALIVE
        is_later = (
            result.started_ms > target.started_ms > incarnations.START_UNKNOWN
        )
        return Verdict.ENDED if is_later else Verdict.UNKNOWN
