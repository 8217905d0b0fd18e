"""Reads and renders settings trees for `ruddergatectl`."""

from collections.abc import Iterator
import pathlib
import sys

from ruddergate.cli import _private
from ruddergate.settings import check
from ruddergate.settings import effective
from ruddergate.settings import kind as kinds
from ruddergate.settings import problem
from ruddergate.settings import tree as trees

_USER_KINDS = {
    kinds.Kind.CLASS: kinds.Kind.CLASS,
    kinds.Kind.POOL: kinds.Kind.POOL,
}


def read(
    path: pathlib.Path, program: str
) -> trees.Tree | tuple[problem.Problem, ...]:
    """Returns a checked tree or its problems; exits if it can't be read."""
    try:
        if path.is_dir():
            shards = {x.stem: x.read_bytes() for x in path.glob("*.json")}
        else:
            shards = {path.stem: path.read_bytes()}
    except OSError as error:
        _private.fail(program, f"{path}: {error.strerror}")
    return check.parse_tree(1, shards)


def read_valid(path: pathlib.Path, program: str) -> trees.Tree:
    """Returns a checked tree; if it has problems, prints them and exits."""
    checked = read(path, program)
    if isinstance(checked, tuple):
        for each in checked:
            print(f"{path}: {each}", file=sys.stderr)
        sys.exit(1)
    return checked


def render_explained(whole: trees.Tree, name: str) -> Iterator[str]:
    """Yields a line for each effective value, with the branch that sets it."""
    kind = whole.branches[name].kind
    used_by = _USER_KINDS.get(kind, kinds.Kind.WORKLOAD)
    for row in effective.explain(whole, name, used_by):
        yield f"{row.name:<24} {row.value!s:<20} {row.branch}"


def render_difference(
    before: trees.Tree, after: trees.Tree, kind: kinds.Kind
) -> Iterator[str]:
    """Yields a line for each branch or effective value that differs."""
    old = {branch.name for branch in before.of_kind(kind)}
    new = {branch.name for branch in after.of_kind(kind)}
    for name in sorted(old - new):
        yield f"- {name}"
    for name in sorted(new - old):
        yield f"+ {name}"
    for name in sorted(old & new):
        was = effective.explain(before, name, kind)
        now = effective.explain(after, name, kind)
        for first, second in zip(was, now, strict=True):
            if first.value != second.value:
                change = f"{first.value} -> {second.value}"
                yield f"  {name}: {first.name}: {change} ({second.branch})"
