"""Frees what abandoned attempts may still hold on engines.

A cancel is repeated until the engine confirms it or is no longer listed, or
until the agents have certainly swept what it is about.
"""

import asyncio
import dataclasses

from ruddergate import environment
from ruddergate.adapters.engines import control
from ruddergate.entry import view as views
from ruddergate.fleet import target as targets

_TIMEOUT_MS = 2_000.0
_INITIAL_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """A stream or reservation to free.

    Attributes:
        target: The engine.
        item_id: Id of the stream or reservation.
        until_ms: Monotonic time after which the agents sweep it.
    """

    target: targets.Target
    item_id: str
    until_ms: float


class Canceller:
    """Owns the unconfirmed cancels; `len` returns their number."""

    def __init__(self, env: environment.Environment, view: views.View) -> None:
        self._env = env
        self._view = view
        self._pending: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def post(self, cancel: Cancel) -> None:
        """Starts a cancel in the background."""
        task = asyncio.ensure_future(self._cancel_until_confirmed(cancel))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _cancel_until_confirmed(self, cancel: Cancel) -> None:
        backoff_ms = _INITIAL_BACKOFF_MS
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
            backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2.0)

    def _is_listed(self, target: targets.Target) -> bool:
        return any(
            each.address == target.address
            for each in self._view.listing.targets
        )
