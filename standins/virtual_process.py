"""Processes in virtual time that can be frozen, resumed and killed.

Each callback of the event loop belongs to the process in whose context it was
scheduled. While a process is frozen, its callbacks are queued, as with SIGSTOP;
all of them run late when it resumes. Those of a killed process never run.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
import sys
import traceback
from typing import Any

import async_solipsism

_CURRENT: contextvars.ContextVar["VirtualProcess | None"] = (
    contextvars.ContextVar("virtual_process", default=None)
)


class VirtualProcess:
    """A simulated process.

    Attributes:
        name: Name of the node it runs on.
        hall: Data hall of the node.
        is_dead: Whether it was killed.
        is_frozen: Whether it is stopped now.
        slept_s: Total time for which it was frozen.
    """

    def __init__(self, name: str, hall: str) -> None:
        self.name = name
        self.hall = hall
        self.is_dead = False
        self.is_frozen = False
        self.frozen_s = 0.0
        self._frozen_at_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._queued: list[_Call] = []

    def start(self, make_coroutine: Callable[[], Any]) -> asyncio.Task:
        """Starts a coroutine as a task of this process."""
        context = contextvars.copy_context()
        context.run(_CURRENT.set, self)
        loop = asyncio.get_running_loop()
        task = context.run(
            lambda: loop.create_task(make_coroutine(), context=context)
        )
        # The loop keeps only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def freeze(self) -> None:
        """Suspends the process, as SIGSTOP does."""
        self.is_frozen = True
        self._frozen_at_s = asyncio.get_running_loop().time()

    def resume(self) -> None:
        """Resumes the process, as SIGCONT does."""
        self.is_frozen = False
        loop = asyncio.get_running_loop()
        self.frozen_s += loop.time() - self._frozen_at_s
        queued, self._queued = self._queued, []
        for call in queued:
            contextvars.Context().run(loop.call_soon, self._run_late, call)

    def _run_late(self, call: "_Call") -> None:
        # A callback that ran before may have cancelled it, as in a real loop.
        if not call.handle.cancelled():
            # In its own context, so that what it schedules belongs to this
            # process, too.
            call.context.run(self.run_callback, call)

    def kill(self) -> None:
        """Kills the process at once; none of its callbacks run any more."""
        self.is_dead = True
        self._queued.clear()

    def run_callback(self, call: "_Call") -> None:
        """Runs a callback of this process, now or when it resumes."""
        if self.is_dead:
            return
        if self.is_frozen:
            self._queued.append(call)
        else:
            call.callback(*call.args)


@dataclasses.dataclass(slots=True)
class _Call:
    """A scheduled callback."""

    context: contextvars.Context
    callback: Callable
    args: tuple
    handle: asyncio.Handle | None = None


class VirtualLoop(async_solipsism.EventLoop):
    """An event loop in virtual time whose callbacks belong to processes."""

    def call_soon(self, callback, *args, context=None):  # noqa: ANN001, ANN002, ANN201
        """Schedules a callback for the process of its context."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_CURRENT)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        call = _Call(context, callback, args)
        call.handle = super().call_soon(
            process.run_callback, call, context=context
        )
        return call.handle

    def call_at(self, when, callback, *args, context=None):  # noqa: ANN001, ANN002, ANN201
        """Schedules a callback at a time for the process of its context."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_CURRENT)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        call = _Call(context, callback, args)
        call.handle = super().call_at(
            when, process.run_callback, call, context=context
        )
        return call.handle


def _handle_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Prints an exception of a task and stops the loop.

    Tasks that are destroyed unfinished are no error here.
    """
    error = context.get("exception")
    if error is not None:
        traceback.print_exception(error)
        loop.stop()


def _handle_unraisable(unraisable: Any) -> None:  # noqa: ANN401
    """Ignores errors from the clean-up of killed processes, which never ran."""
    if not isinstance(unraisable.exc_value, RuntimeError):
        sys.__unraisablehook__(unraisable)


def run(work: Callable[[], Any]) -> Any:  # noqa: ANN401
    """Runs a coroutine function in a new virtual loop."""
    loop = VirtualLoop()
    loop.set_exception_handler(_handle_exception)
    sys.unraisablehook = _handle_unraisable
    try:
        return loop.run_until_complete(work())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        loop.close()
