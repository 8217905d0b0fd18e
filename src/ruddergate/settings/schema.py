"""The published schema: all settings with type, unit and bounds.

A setting may be set on any branch and is inherited by the branches below it.
`used_by` is the kind of branch whose behavior it changes.
"""

import dataclasses

from ruddergate.settings import kind as kinds

SettingValue = bool | int | float | str

_POOL_NAME = "the name of a pool branch"
_CLASS_NAME = "the name of a class branch"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One setting.

    Attributes:
        name: Key in the tree; a unit is its suffix.
        type_: Type of its value; an int is accepted for a float.
        default: Value when no branch sets it.
        used_by: Kind of branch that it configures.
        description: One line for operators.
        minimum: Minimum value, for numbers.
        maximum: Maximum value, for numbers.
        choices: Allowed values, for enumerations.
        refers_to: Kind of branch that the value must be the name of, if any.
    """

    name: str
    type_: type
    default: SettingValue
    used_by: kinds.Kind
    description: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    refers_to: kinds.Kind | None = None


def _workload(
    name: str, default: SettingValue, description: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.WORKLOAD, description, bounds)


def _pool(
    name: str, default: SettingValue, description: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.POOL, description, bounds)


def _class(
    name: str, default: SettingValue, description: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.CLASS, description, bounds)


def _setting(
    name: str,
    default: SettingValue,
    used_by: kinds.Kind,
    description: str,
    bounds: tuple[float, ...],
) -> Setting:
    minimum, maximum = bounds if bounds else (None, None)
    return Setting(
        name, type(default), default, used_by, description, minimum, maximum
    )


def _reference(name: str, refers_to: kinds.Kind, description: str) -> Setting:
    return Setting(
        name, str, "", kinds.Kind.WORKLOAD, description, refers_to=refers_to
    )


SETTINGS: tuple[Setting, ...] = (
    _reference("class", kinds.Kind.CLASS, "priority class, " + _CLASS_NAME),
    _reference("pool", kinds.Kind.POOL, "where it runs, " + _POOL_NAME),
    _workload("time_limit_ms", 60_000, "total time limit", 10, 3_600_000),
    _workload(
        "repeatable", True, "whether requests are idempotent and may run twice"
    ),
    _workload(
        "prompt_tokens_max", 1_000_000, "maximum prompt length", 1, 4_000_000
    ),
    _workload(
        "output_tokens_max", 4_096, "maximum output length", 1, 1_000_000
    ),
    _workload(
        "output_tokens_typical",
        256,
        "output length assumed if the request sets no limit",
        1,
        1_000_000,
    ),
    _workload("weight", 1.0, "weight within its class", 0.01, 1_000.0),
    _workload(
        "requests_per_s_max", 1_000_000.0, "fleet-wide rate limit", 0.01, 1e6
    ),
    _workload(
        "concurrency_max",
        1_000_000,
        "fleet-wide concurrency limit",
        1,
        1_000_000,
    ),
    _workload("key_sha256", "", "SHA-256 of the workspace's API key, in hex"),
    _class("rank", 0, "higher ranks are served first", 0, 9),
    _class("floor_percent", 0.0, "share guaranteed under overload", 0.0, 50.0),
    _class(
        "queue_cost_ms_max",
        20_000.0,
        "maximum total cost of a VM's queue",
        1.0,
        3_600_000.0,
    ),
    Setting(
        "pool_kind",
        str,
        "engine",
        kinds.Kind.POOL,
        "kind of its targets",
        choices=("engine", "service"),
    ),
    _pool("model", "", "model that its engines serve"),
    _pool("model_version", "", "version that its engines should load"),
    _pool("adapters", "", "adapters to load, comma-separated"),
    _pool("role", "both", "role assigned to its engines"),
    _pool("memory_tokens", 400_000, "memory of one engine", 1_000, 100_000_000),
    _pool(
        "prefill_tokens_per_s",
        20_000.0,
        "prefill rate of one engine",
        1.0,
        10_000_000.0,
    ),
    _pool(
        "attention_ms_per_m_pairs",
        0.0,
        "prefill time per million pairs of a token and an earlier token",
        0.0,
        1_000_000.0,
    ),
    _pool("decode_ms_per_token", 30.0, "time between tokens", 0.01, 10_000.0),
    _pool(
        "service_concurrency",
        8,
        "concurrent requests to one service",
        1,
        100_000,
    ),
    _pool("exports_kv", True, "engines can export and import KV cache"),
    _pool(
        "checks_fence", True, "engines reject orders with an old fencing token"
    ),
    _pool(
        "checks_key",
        False,
        "targets reject an idempotency key that they have seen before",
    ),
    _pool("gang_engines_max", 4, "maximum engines per prompt", 1, 64),
    _pool(
        "weight_reads_per_s_max",
        0.5,
        "read rate limit of the weight store",
        0.001,
        1_000.0,
    ),
)

BY_NAME = {setting.name: setting for setting in SETTINGS}

MAX_SHARD_BYTES = 1_000_000
