"""Command line of `ruddergatectl`, for operators."""

import asyncio
import pathlib
import sys
from typing import Annotated

from ruddergate import environment
from ruddergate.cli import _private
from ruddergate.cli import _replay
from ruddergate.cli import _status
from ruddergate.cli import _tree
from ruddergate.experiments import plots
from ruddergate.experiments import trace
from ruddergate.settings import kind as kinds
from ruddergate.telemetry import outcome_summary
from ruddergate.telemetry import request_timeline

_PROGRAM = "ruddergatectl"
APP = _private.make_app(
    _PROGRAM,
    "Checks, explains and compares settings; evaluates logs; replays traces.",
)


@APP.command
def check(tree: pathlib.Path) -> None:
    """Checks a settings tree.

    Args:
        tree: File with the tree, or folder with one file per shard.
    """
    checked = _tree.read(tree, _PROGRAM)
    if isinstance(checked, tuple):
        for each in checked:
            print(each, file=sys.stderr)
        sys.exit(1)
    print(f"{tree}: {len(checked.branches)} branches, no problem")


@APP.command
def explain(tree: pathlib.Path, branch: str) -> None:
    """Shows each effective value of a branch and the branch that set it.

    Args:
        tree: File with the tree, or folder with its shards.
        branch: A workload, class or pool.
    """
    whole = _tree.read_valid(tree, _PROGRAM)
    if branch not in whole.branches:
        _private.fail(_PROGRAM, f"{tree} has no branch {branch!r}")
    for line in _tree.render_explained(whole, branch):
        print(line)


@APP.command
def diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Shows which effective values differ between two trees.

    Args:
        old: File or folder of the old tree.
        new: File or folder of the new tree.
    """
    before = _tree.read_valid(old, _PROGRAM)
    after = _tree.read_valid(new, _PROGRAM)
    for kind in (kinds.Kind.WORKLOAD, kinds.Kind.CLASS, kinds.Kind.POOL):
        for line in _tree.render_difference(before, after, kind):
            print(line)


@APP.command
def status(entry: _private.AddressText) -> None:
    """Shows the state of an entry: its view, the view's age, its peers.

    Args:
        entry: Address at which the entry serves callers (HOST:PORT).
    """
    lines = asyncio.run(_status.fetch(environment.parse_address(entry)))
    if isinstance(lines, str):
        _private.fail(_PROGRAM, lines)
    print("\n".join(lines))


@APP.command(name="trace")
def trace_request(request_id: str, logs: list[pathlib.Path]) -> None:
    """Prints the timeline of one request, from the logs of several VMs.

    Args:
        request_id: ID of the request.
        logs: Files of JSON log lines.
    """
    sources = [(path.name, _read_log(path)) for path in logs]
    lines = request_timeline.collect_lines(request_id, sources)
    if not lines:
        _private.fail(_PROGRAM, f"no log names request {request_id}")
    for line in lines:
        print(line)


@APP.command(name="losses")
def sum_losses(logs: list[pathlib.Path]) -> None:
    """Summarizes the outcomes of requests, from the logs of several VMs.

    Args:
        logs: Files of JSON log lines.
    """
    found = outcome_summary.read_outcomes(_read_log(path) for path in logs)
    print("\n".join(outcome_summary.render(found)))


def _read_log(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        _private.fail(_PROGRAM, f"{path}: {error}")
        raise AssertionError("unreachable: fail() exits") from error


@APP.command
def replay(
    trace_file: pathlib.Path,
    *,
    entry: str,
    out: pathlib.Path,
    keys: pathlib.Path | None = None,
    speed: Annotated[float, _private.number(0.01, 1_000)] = 1.0,
) -> None:
    """Replays a trace against running entries; faults are skipped.

    Args:
        trace_file: Trace, a file of JSON lines.
        entry: Entries to send to in turn (HOST:PORT[,HOST:PORT...]).
        out: Folder for outcomes.jsonl and summary.json.
        keys: JSON file with the key of each workspace; without it the key of a
            workspace is `demo-` followed by its name.
        speed: Factor by which requests are sent faster than in the trace.
    """
    lines = trace.read_trace(trace_file)
    if isinstance(lines, trace.MalformedLine):
        where = f"{trace_file}: line {lines.number}"
        _private.fail(_PROGRAM, f"{where}: {lines.detail}")
    try:
        addresses = [environment.parse_address(x) for x in entry.split(",")]
        keys_by_workspace = _replay.read_keys(keys)
    except (OSError, ValueError) as error:
        _private.fail(_PROGRAM, str(error))
    table = asyncio.run(
        _replay.run(lines, addresses, keys_by_workspace, out, speed)
    )
    print(table)


@APP.command
def report(folders: list[pathlib.Path], *, out: pathlib.Path) -> None:
    """Plots time to first token by prompt length, and slowdown by load.

    Args:
        folders: Folders written by replays or by `standins/slopes.py`.
        out: Folder for the plots and report.txt.
    """
    try:
        text = plots.write_report(folders, out)
    except (OSError, ValueError, KeyError) as error:
        _private.fail(_PROGRAM, f"no report: {error}")
    print(text)


def run() -> None:
    """Runs the command line."""
    _private.run_app(APP)
