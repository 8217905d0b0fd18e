"""The task that frees what given-up attempts may still hold on engines.

A cancel is repeated until the engine confirms it, is off the list or is
certain to have been swept.
"""

import asyncio
import dataclasses

from ruddergate import environment
from ruddergate.adapters.engines import control
from ruddergate.entry import view as views
from ruddergate.fleet import target as targets

_TIMEOUT_MS = 2_000.0
_BACKOFF_FIRST_MS = 100.0
_BACKOFF_MOST_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Something to be freed.

    Attributes:
        target: The engine.
        item_id: The stream or reservation.
        until_ms: Monotonic time after which the agents sweep it.
    """

    target: targets.Target
    item_id: str
    until_ms: float


class Canceller:
    """Owns the cancels that are not yet confirmed."""

    def __init__(self, env: environment.Environment, view: views.View) -> None:
        self._env = env
        self._view = view
        self._open: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._open)

    def post(self, cancel: Cancel) -> None:
        """Takes over a cancel."""
        task = asyncio.ensure_future(self._carry_out(cancel))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _carry_out(self, cancel: Cancel) -> None:
        backoff_ms = _BACKOFF_FIRST_MS
        while True:
            answer = await control.cancel(
                self._env, cancel.target, [cancel.item_id], _TIMEOUT_MS
            )
            if isinstance(answer, control.Done):
                return
            if self._env.now_ms() > cancel.until_ms:
                return
            if not self._is_listed(cancel.target):
                return
            jitter = self._env.random.uniform(0.5, 1.0)
            await asyncio.sleep(backoff_ms * jitter / 1000.0)
            backoff_ms = min(_BACKOFF_MOST_MS, backoff_ms * 2.0)

    def _is_listed(self, target: targets.Target) -> bool:
        return any(
            each.address == target.address
            for each in self._view.listing.targets
        )
