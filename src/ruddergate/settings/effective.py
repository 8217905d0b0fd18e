"""Effective settings: inherited values merged with overrides."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math

from ruddergate.settings import kind as kinds
from ruddergate.settings import schema
from ruddergate.settings import tree


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainedSetting:
    """An effective value and its origin.

    Attributes:
        name: Name of the setting.
        value: Its effective value.
        branch: The branch that sets it, or `default`.
    """

    name: str
    value: schema.SettingValue
    branch: str


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityClass:
    """Effective settings of a priority class; see `schema` for each."""

    name: str
    rank: int
    floor_percent: float
    queue_cost_ms_max: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Effective settings of a pool of targets; see `schema` for each.

    Attributes:
        iteration_ms: Duration of an engine's batch iteration without prefill,
            if published.
        gap_slos_ms: Objectives for the longest gap between two events, of all
            stream routes to the pool, without duplicates and sorted; empty if
            not published.
    """

    name: str
    pool_kind: str
    model: str
    model_version: str
    adapters: str
    role: str
    memory_tokens: int
    prefill_tokens_per_s: float
    attention_ms_per_m_pairs: float
    decode_ms_per_token: float
    service_concurrency: int
    exports_kv: bool
    checks_fence: bool
    checks_key: bool
    gang_engines_max: int
    weight_reads_per_s_max: float
    iteration_ms: float = 0.0
    gap_slos_ms: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A fleet-wide limit, shared by all workloads below a branch.

    Attributes:
        scope: The branch that sets it: the workspace or one below it.
        requests_per_s_max: Maximum rate; infinite if not limited.
        concurrency_max: Maximum concurrent requests; infinite if not limited.
    """

    scope: str
    requests_per_s_max: float
    concurrency_max: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Effective settings of a workload; see `schema` for each."""

    name: str
    workspace: str
    revision: int
    priority: PriorityClass
    pool: Pool
    time_limit_ms: float
    repeatable: bool
    prompt_tokens_max: int
    output_tokens_max: int
    output_tokens_typical: int
    weight: float
    limits: tuple[Limit, ...]


def explain(
    settings_tree: tree.Tree, name: str, used_by: kinds.Kind
) -> tuple[ExplainedSetting, ...]:
    """Returns each setting used by a kind of branch, effective at `name`."""
    lineage = tuple(settings_tree.lineage(name))
    rows = []
    for setting in schema.SETTINGS:
        if setting.used_by is used_by:
            rows.append(_explain_one(setting, lineage))
    return tuple(rows)


def _explain_one(
    setting: schema.Setting, lineage: tuple[tree.Branch, ...]
) -> ExplainedSetting:
    for branch in lineage:
        if setting.name in branch.overrides:
            value = branch.overrides[setting.name]
            return ExplainedSetting(setting.name, value, branch.name)
    return ExplainedSetting(setting.name, setting.default, "default")


def resolve_workload(settings_tree: tree.Tree, name: str) -> Workload | None:
    """Returns the effective settings of a workload, or None if unknown."""
    if settings_tree.find(name, kinds.Kind.WORKLOAD) is None:
        return None
    values = _resolve_values(settings_tree, name, kinds.Kind.WORKLOAD)
    return Workload(
        name=name,
        workspace=find_workspace(settings_tree, name),
        revision=settings_tree.revision,
        priority=resolve_class(settings_tree, str(values["class"])),
        pool=resolve_pool(settings_tree, str(values["pool"])),
        time_limit_ms=float(values["time_limit_ms"]),
        repeatable=bool(values["repeatable"]),
        prompt_tokens_max=int(values["prompt_tokens_max"]),
        output_tokens_max=int(values["output_tokens_max"]),
        output_tokens_typical=int(values["output_tokens_typical"]),
        weight=float(values["weight"]),
        limits=tuple(_find_limits(settings_tree, name)),
    )


def resolve_class(settings_tree: tree.Tree, name: str) -> PriorityClass:
    """Returns the effective settings of a priority class."""
    return PriorityClass(
        name=name, **_resolve_values(settings_tree, name, kinds.Kind.CLASS)
    )


def resolve_pool(settings_tree: tree.Tree, name: str) -> Pool:
    """Returns the effective settings of a pool."""
    return Pool(
        name=name, **_resolve_values(settings_tree, name, kinds.Kind.POOL)
    )


def find_workspace(settings_tree: tree.Tree, name: str) -> str:
    """Returns the nearest workspace above a branch, or an empty name."""
    for branch in settings_tree.lineage(name):
        if branch.kind is kinds.Kind.WORKSPACE:
            return branch.name
    return ""


def _find_limits(settings_tree: tree.Tree, name: str) -> Iterator[Limit]:
    """Yields each limit at or below the workspace.

    A limit that is set above the workspace applies to each workspace
    separately.
    """
    for branch in settings_tree.lineage(name):
        overrides = branch.overrides
        if branch.kind is kinds.Kind.WORKSPACE:
            overrides = {
                row.name: row.value
                for row in explain(
                    settings_tree, branch.name, kinds.Kind.WORKLOAD
                )
                if row.branch != "default"
            }
        rate = float(overrides.get("requests_per_s_max", math.inf))
        concurrency = float(overrides.get("concurrency_max", math.inf))
        if math.isfinite(rate) or math.isfinite(concurrency):
            yield Limit(branch.name, rate, concurrency)
        if branch.kind is kinds.Kind.WORKSPACE:
            return


def _resolve_values(
    settings_tree: tree.Tree, name: str, used_by: kinds.Kind
) -> Mapping[str, schema.SettingValue]:
    return {
        row.name: row.value for row in explain(settings_tree, name, used_by)
    }
