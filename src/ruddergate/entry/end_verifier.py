"""Probes targets that a peer reported as ended, over this VM's own links.

A target that responds refutes the report, for the whole fleet: a VM that is cut
off from it can't tell a refused connection from a crash.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from ruddergate import environment
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders

# Jitter before a probe. The first refutation spares the other VMs theirs.
MAX_JITTER_MS = 20.0


class EndVerifier:
    """Verifies reported ends; one per process.

    Args:
        env: Clock and random numbers.
        probe: Sends a health probe to a target, not through peers.
        is_refuted: Returns whether a report was refuted just now.
        on_verified: Called with each probed target, and whether it is alive.
    """

    def __init__(
        self,
        env: environment.Environment,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        is_refuted: Callable[[incarnations.Incarnation], bool],
        on_verified: Callable[[targets.Target, bool], None],
    ) -> None:
        self._env = env
        self._probe = probe
        self._is_refuted = is_refuted
        self._on_verified = on_verified
        self._tasks: dict[incarnations.Incarnation, asyncio.Task] = {}

    def verify(self, target: targets.Target) -> None:
        """Starts to probe a target, unless that is being done."""
        incarnation = target.incarnation
        if incarnation in self._tasks:
            return
        task = asyncio.ensure_future(self._verify(target))
        self._tasks[incarnation] = task
        task.add_done_callback(lambda _: self._tasks.pop(incarnation, None))

    async def _verify(self, target: targets.Target) -> None:
        jitter_ms = self._env.random.uniform(0.0, MAX_JITTER_MS)
        await asyncio.sleep(jitter_ms / 1000.0)
        if self._is_refuted(target.incarnation):
            return
        result = await self._probe(target)
        is_same_incarnation = result.started_ms in (
            incarnations.START_UNKNOWN,
            target.started_ms,
        )
        is_alive = result.status is orders.ProbeStatus.ALIVE
        self._on_verified(target, is_alive and is_same_incarnation)
