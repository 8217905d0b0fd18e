"""Code shared by the command lines."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import signal
import sys
from typing import Annotated
from typing import Literal
from typing import TypeAlias

import cyclopts

from ruddergate import environment
from ruddergate import event_loop
from ruddergate import stop_signal

USAGE_STATUS = 2
# Prefix of the environment variables that set parameters.
ENV_PREFIX = "RUDDERGATE_"
MIN_KEY_LENGTH = 16


def make_app(name: str, help_: str) -> cyclopts.App:
    """Returns a command line that also reads environment variables.

    Every parameter can be set by a variable of its name with the prefix.
    """
    return cyclopts.App(
        name=name,
        help=help_,
        config=cyclopts.config.Env(ENV_PREFIX, command=False),
    )


def run_app(app: cyclopts.App) -> None:
    """Runs a command line.

    An invalid parameter or an `OSError` prints one line and ends the process
    with status 2.

    An empty environment variable counts as unset, since templates of
    environment files leave a variable empty if there is no value for it.
    """
    for name, value in list(os.environ.items()):
        if name.startswith(ENV_PREFIX) and not value:
            del os.environ[name]
    try:
        app(exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as error:
        fail(app.name[0], " ".join(str(error).split()))
    except BrokenPipeError:
        # The reader of the output has closed the pipe, as `head` does.
        sys.stderr.close()
    except OSError as error:
        fail(app.name[0], str(error))


def fail(program: str, text: str) -> None:
    """Prints one line to standard error and exits with status 2."""
    print(f"{program}: {text}", file=sys.stderr)
    sys.exit(USAGE_STATUS)


def _check_address(type_: object, value: str) -> None:
    if value:
        environment.parse_address(value)


def _check_key(type_: object, value: str) -> None:
    if len(value) < MIN_KEY_LENGTH:
        raise ValueError(f"expected at least {MIN_KEY_LENGTH} characters")


def number(minimum: float, maximum: float) -> cyclopts.Parameter:
    """Returns a numeric parameter with inclusive bounds."""
    return cyclopts.Parameter(
        validator=cyclopts.validators.Number(gte=minimum, lte=maximum)
    )


AddressText: TypeAlias = Annotated[
    str, cyclopts.Parameter(validator=_check_address)
]
KeyText: TypeAlias = Annotated[str, cyclopts.Parameter(validator=_check_key)]
LogLevel: TypeAlias = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
LogFormat: TypeAlias = Literal["text", "json"]
TraceExporter: TypeAlias = Literal["off", "console", "otlp"]


def run_program(
    serve: Callable[[stop_signal.StopSignal], Awaitable[None]],
) -> None:
    """Runs a program; SIGTERM or SIGINT starts its planned stop."""

    async def run() -> None:
        stop = stop_signal.StopSignal()
        for signal_ in (signal.SIGTERM, signal.SIGINT):
            _handle_stop_signal(signal_, stop)
        await serve(stop)

    with asyncio.Runner(loop_factory=event_loop.make_event_loop) as runner:
        runner.run(run())


def _handle_stop_signal(
    signal_: signal.Signals, stop: stop_signal.StopSignal
) -> None:
    asyncio.get_running_loop().add_signal_handler(signal_, stop.set)
    # The loop runs its handlers after callbacks that were due before. This one
    # replaces the loop's own, which does nothing, and runs at once.
    signal.signal(signal_, lambda number, frame: stop.note_signal())
    # Setting a handler resets what the loop had set.
    signal.siginterrupt(signal_, False)
