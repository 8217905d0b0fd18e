"""Validates a published settings tree, as a pure function of the whole tree.

Every VM that checks the same bytes gets the same result, so that a revision
takes effect on all of them or on none.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import string
import types

import orjson

from ruddergate import untrusted
from ruddergate.settings import kind as kinds
from ruddergate.settings import problem
from ruddergate.settings import schema
from ruddergate.settings import tree

_BRANCH_KEYS = ("kind", "parent", "settings", "hall_percent")
_KINDS = ", ".join(kind.value for kind in kinds.Kind)
_UNITS = ("ms", "s", "tokens", "percent", "bytes", "max")
_DIGEST_DIGITS = 64


def parse_tree(
    revision: int, shards: Mapping[str, bytes]
) -> tree.Tree | tuple[problem.Problem, ...]:
    """Joins the shards of one revision and validates the tree.

    Args:
        revision: Number under which the platform published the shards.
        shards: JSON of each shard by its name.

    Returns:
        The validated tree, or all problems found, sorted by path.
    """
    problems: list[problem.Problem] = []
    raw = _join_shards(shards, problems)
    branches = {}
    for name in sorted(raw):
        branch = _parse_branch(name, raw[name], problems)
        if branch is not None:
            branches[name] = branch
    if not problems:
        problems.extend(_check_tree(branches))
    if problems:
        return tuple(sorted(problems))
    return tree.Tree(revision, types.MappingProxyType(branches))


def _join_shards(
    shards: Mapping[str, bytes], problems: list[problem.Problem]
) -> dict[str, object]:
    joined: dict[str, object] = {}
    for shard in sorted(shards):
        for name, value in _read_shard(shard, shards[shard], problems):
            if name in joined:
                problems.append(
                    problem.Problem(name, "one shard with this branch", "two")
                )
            joined[name] = value
    return joined


def _read_shard(
    shard: str, data: bytes, problems: list[problem.Problem]
) -> Iterator[tuple[str, object]]:
    path = f"shard {shard}"
    if len(data) > schema.MAX_SHARD_BYTES:
        expected = f"at most {schema.MAX_SHARD_BYTES} bytes"
        problems.append(problem.Problem(path, expected, f"{len(data)}"))
        return
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        problems.append(problem.Problem(path, "JSON", f"{error}"))
        return
    branches = document.get("branches") if isinstance(document, dict) else None
    if not isinstance(branches, dict) or len(document) != 1:
        problems.append(
            problem.Problem(
                path, "an object with the single key `branches`", _quote(data)
            )
        )
        return
    yield from branches.items()


def _quote(data: bytes) -> str:
    shown = data[:40].decode(errors="replace")
    return f"{shown!r}"


def _parse_branch(
    name: str, raw: object, problems: list[problem.Problem]
) -> tree.Branch | None:
    problem_count = len(problems)
    if not isinstance(raw, dict):
        problems.append(
            problem.Problem(name, "an object", untrusted.describe_value(raw))
        )
        return None
    for key in sorted(set(raw) - set(_BRANCH_KEYS)):
        expected = "one of " + ", ".join(_BRANCH_KEYS)
        problems.append(
            problem.Problem(
                name, expected, f"key {untrusted.describe_value(key)}"
            )
        )
    kind = raw.get("kind")
    if not isinstance(kind, str) or kind not in set(kinds.Kind):
        problems.append(
            problem.Problem(
                f"{name}: kind",
                f"one of {_KINDS}",
                untrusted.describe_value(kind),
            )
        )
    parent = raw.get("parent", name.rpartition("/")[0])
    if not isinstance(parent, str):
        problems.append(
            problem.Problem(
                f"{name}: parent",
                "a branch's name",
                untrusted.describe_value(parent),
            )
        )
    overrides = _parse_settings(name, raw.get("settings", {}), problems)
    hall_percent = _parse_hall_percent(
        name, raw.get("hall_percent", {}), problems
    )
    if len(problems) > problem_count:
        return None
    return tree.Branch(name, kinds.Kind(kind), parent, overrides, hall_percent)


def _parse_settings(
    name: str, raw: object, problems: list[problem.Problem]
) -> Mapping[str, schema.SettingValue]:
    if not isinstance(raw, dict):
        problems.append(
            problem.Problem(
                f"{name}: settings", "an object", untrusted.describe_value(raw)
            )
        )
        return {}
    for key in sorted(raw):
        found = _check_setting(f"{name}: {key}", key, raw[key])
        if found is not None:
            problems.append(found)
    return types.MappingProxyType(raw)


def _check_setting(
    path: str, key: str, value: object
) -> problem.Problem | None:
    setting = schema.BY_NAME.get(key)
    if setting is None:
        return problem.Problem(path, _suggest_key(key), "an unknown key")
    if not _has_type(value, setting.type_):
        return problem.Problem(
            path, _describe(setting), untrusted.describe_value(value)
        )
    if setting.choices and value not in setting.choices:
        return problem.Problem(
            path, _describe(setting), untrusted.describe_value(value)
        )
    if setting.minimum is not None and not (
        setting.minimum <= value <= setting.maximum
    ):
        return problem.Problem(
            path, _describe(setting), untrusted.describe_value(value)
        )
    if key == "key_sha256" and not _is_digest(value):
        return problem.Problem(
            path, "64 hexadecimal digits", untrusted.describe_value(value)
        )
    return None


def _has_type(value: object, type_: type) -> bool:
    if isinstance(value, bool):
        return type_ is bool
    if type_ is float:
        return isinstance(value, (int, float))
    return isinstance(value, type_)


def _is_digest(value: object) -> bool:
    digits = set(string.hexdigits.lower())
    return len(str(value)) == _DIGEST_DIGITS and set(str(value)) <= digits


def _describe(setting: schema.Setting) -> str:
    if setting.choices:
        return "one of " + ", ".join(setting.choices)
    names = {bool: "true or false", int: "a whole number", float: "a number"}
    text = names.get(setting.type_, "text")
    if setting.minimum is not None:
        text += f" from {setting.minimum:g} to {setting.maximum:g}"
    return text


def _suggest_key(key: str) -> str:
    """Returns the known setting that differs only in its unit, if any."""
    stem = _strip_units(key)
    for name in schema.BY_NAME:
        if _strip_units(name) == stem:
            return f"{name!r}"
    return "a known setting"


def _strip_units(key: str) -> str:
    words = key.split("_")
    while len(words) > 1 and words[-1] in _UNITS:
        words.pop()
    return "_".join(words)


def _parse_hall_percent(
    name: str, raw: object, problems: list[problem.Problem]
) -> Mapping[str, float]:
    path = f"{name}: hall_percent"
    if not isinstance(raw, dict) or not all(
        _has_type(share, float) and 0 <= share <= 100 for share in raw.values()
    ):
        expected = "a percentage from 0 to 100 for each hall"
        problems.append(
            problem.Problem(path, expected, untrusted.describe_value(raw))
        )
        return {}
    if sum(raw.values()) > 100:
        found = f"{sum(raw.values()):g}"
        problems.append(problem.Problem(path, "at most 100 in total", found))
    return types.MappingProxyType(raw)


def _check_tree(
    branches: Mapping[str, tree.Branch],
) -> Iterable[problem.Problem]:
    yield from _check_roots(branches)
    for name, branch in branches.items():
        if branch.parent and branch.parent not in branches:
            yield problem.Problem(
                f"{name}: parent",
                "the name of an existing branch",
                untrusted.describe_value(branch.parent),
            )
        elif _is_in_cycle(name, branches):
            yield problem.Problem(
                f"{name}: parent", "ancestors that end at the root", "a cycle"
            )
    for name, branch in branches.items():
        yield from _check_references(name, branch, branches)
        if branch.kind is kinds.Kind.WORKLOAD and _reaches_root(name, branches):
            yield from _check_workload(name, branches)


def _check_roots(
    branches: Mapping[str, tree.Branch],
) -> Iterable[problem.Problem]:
    roots = [b.name for b in branches.values() if b.kind is kinds.Kind.ROOT]
    if len(roots) != 1:
        yield problem.Problem("tree", "one branch of kind root", f"{roots}")
    for name, branch in branches.items():
        if not branch.parent and branch.kind is not kinds.Kind.ROOT:
            yield problem.Problem(f"{name}: parent", "a parent", "none")
        if branch.parent and branch.kind is kinds.Kind.ROOT:
            yield problem.Problem(
                f"{name}: parent", "no parent for the root", branch.parent
            )


def _is_in_cycle(name: str, branches: Mapping[str, tree.Branch]) -> bool:
    seen = set()
    while name in branches:
        if name in seen:
            return True
        seen.add(name)
        name = branches[name].parent
    return False


def _reaches_root(name: str, branches: Mapping[str, tree.Branch]) -> bool:
    """Returns whether the ancestors of a branch end at one without a parent."""
    if _is_in_cycle(name, branches):
        return False
    while name in branches:
        name = branches[name].parent
    return not name


def _check_references(
    name: str, branch: tree.Branch, branches: Mapping[str, tree.Branch]
) -> Iterable[problem.Problem]:
    for key, value in branch.overrides.items():
        required_kind = schema.BY_NAME[key].refers_to
        if required_kind is None:
            continue
        referenced = branches.get(str(value))
        if referenced is None or referenced.kind is not required_kind:
            yield problem.Problem(
                f"{name}: {key}",
                f"a branch of kind {required_kind}",
                untrusted.describe_value(value),
            )


def _check_workload(
    name: str, branches: Mapping[str, tree.Branch]
) -> Iterable[problem.Problem]:
    lineage = list(tree.Tree(0, branches).lineage(name))
    for key in ("class", "pool"):
        if not any(key in branch.overrides for branch in lineage):
            yield problem.Problem(f"{name}: {key}", "a value", "none inherited")
    if not any(branch.kind is kinds.Kind.WORKSPACE for branch in lineage):
        yield problem.Problem(
            f"{name}: parent", "a workspace among its ancestors", "none"
        )
