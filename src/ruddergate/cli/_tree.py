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

# Kind of branch whose settings `explain` shows for a branch of the given kind.
# For all other kinds these are the settings of a workload.
_EXPLAINED_AS = {
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


def render_explained(tree: trees.Tree, name: str) -> Iterator[str]:
    """Yields a line for each effective value, with the branch that sets it."""
    kind = tree.branches[name].kind
    used_by = _EXPLAINED_AS.get(kind, kinds.Kind.WORKLOAD)
    for row in effective.explain(tree, name, used_by):
        yield f"{row.name:<24} {row.value!s:<20} {row.branch}"


def render_difference(
    old_tree: trees.Tree, new_tree: trees.Tree, kind: kinds.Kind
) -> Iterator[str]:
    """Yields a line for each branch or effective value that differs."""
    old_names = {branch.name for branch in old_tree.of_kind(kind)}
    new_names = {branch.name for branch in new_tree.of_kind(kind)}
    for name in sorted(old_names - new_names):
        yield f"- {name}"
    for name in sorted(new_names - old_names):
        yield f"+ {name}"
    for name in sorted(old_names & new_names):
        old_rows = effective.explain(old_tree, name, kind)
        new_rows = effective.explain(new_tree, name, kind)
        for old_row, new_row in zip(old_rows, new_rows, strict=True):
            if old_row.value != new_row.value:
                change = f"{old_row.value} -> {new_row.value}"
                yield f"  {name}: {old_row.name}: {change} ({new_row.branch})"
