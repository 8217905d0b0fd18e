"""The published schema: every setting with its type, unit and bounds.

A setting may stand on any branch; branches below inherit it. `used_by` names
the kinds of branch whose behaviour it changes.
"""

import dataclasses

from ruddergate.settings import kind as kinds

SettingValue = bool | int | float | str

_ANY_TARGET = "the name of a pool branch"
_ANY_CLASS = "the name of a class branch"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One setting.

    Attributes:
        name: Key in the tree; a unit is its suffix.
        type_: Type of its value; int is taken where float is asked.
        default: Value when no branch sets it.
        used_by: Kind of branch that it configures.
        meaning: One line for operators.
        minimum: Least value, for numbers.
        maximum: Greatest value, for numbers.
        choices: Allowed values, for text with a fixed set.
        refers_to: Kind of branch that the value must name, if any.
    """

    name: str
    type_: type
    default: SettingValue
    used_by: kinds.Kind
    meaning: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    refers_to: kinds.Kind | None = None


def _workload(
    name: str, default: SettingValue, meaning: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.WORKLOAD, meaning, bounds)


def _pool(
    name: str, default: SettingValue, meaning: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.POOL, meaning, bounds)


def _class(
    name: str, default: SettingValue, meaning: str, *bounds: float
) -> Setting:
    return _setting(name, default, kinds.Kind.CLASS, meaning, bounds)


def _setting(
    name: str,
    default: SettingValue,
    used_by: kinds.Kind,
    meaning: str,
    bounds: tuple[float, ...],
) -> Setting:
    minimum, maximum = bounds if bounds else (None, None)
    return Setting(
        name, type(default), default, used_by, meaning, minimum, maximum
    )


def _reference(name: str, target: kinds.Kind, meaning: str) -> Setting:
    return Setting(
        name, str, "", kinds.Kind.WORKLOAD, meaning, refers_to=target
    )


SETTINGS: tuple[Setting, ...] = (
    _reference("class", kinds.Kind.CLASS, "priority class, " + _ANY_CLASS),
    _reference("pool", kinds.Kind.POOL, "where it runs, " + _ANY_TARGET),
    _workload("time_limit_ms", 60_000, "whole time limit", 10, 3_600_000),
    _workload("repeatable", True, "whether a second run does no harm"),
    _workload("prompt_tokens_max", 1_000_000, "longest prompt", 1, 4_000_000),
    _workload("output_tokens_max", 4_096, "longest answer", 1, 1_000_000),
    _workload(
        "output_tokens_typical",
        256,
        "answer when no limit is told",
        1,
        1_000_000,
    ),
    _workload("weight", 1.0, "share inside its class", 0.01, 1_000.0),
    _workload("requests_per_s_max", 1_000_000.0, "fleet-wide rate", 0.01, 1e6),
    _workload("concurrency_max", 1_000_000, "fleet-wide running", 1, 1_000_000),
    _workload("key_sha256", "", "digest of the workspace's key, in hex"),
    _class("rank", 0, "higher goes first", 0, 9),
    _class("floor_percent", 0.0, "share kept under overload", 0.0, 50.0),
    _class(
        "queue_cost_ms_max", 20_000.0, "bound of a VM's queue", 1.0, 3_600_000.0
    ),
    Setting(
        "pool_kind",
        str,
        "engine",
        kinds.Kind.POOL,
        "what its targets are",
        choices=("engine", "service"),
    ),
    _pool("model", "", "model that its engines serve"),
    _pool("model_version", "", "version that its engines are to load"),
    _pool("adapters", "", "adapters to load, separated by commas"),
    _pool("role", "both", "role ordered of its engines"),
    _pool("memory_tokens", 400_000, "memory of one engine", 1_000, 100_000_000),
    _pool(
        "prefill_tokens_per_s",
        20_000.0,
        "rate of one engine",
        1.0,
        10_000_000.0,
    ),
    _pool(
        "attention_ms_per_m_pairs",
        0.0,
        "prefill time for a million pairs of a token and one before it",
        0.0,
        1_000_000.0,
    ),
    _pool("decode_ms_per_token", 30.0, "time between tokens", 0.01, 10_000.0),
    _pool("service_concurrency", 8, "calls at once to one service", 1, 100_000),
    _pool("exports_kv", True, "engines can export and import KV cache"),
    _pool("checks_fence", True, "engines refuse orders with an old fence"),
    _pool("checks_key", False, "targets refuse a key seen before"),
    _pool("gang_engines_max", 4, "engines that one prompt may span", 1, 64),
    _pool(
        "weight_reads_per_s_max",
        0.5,
        "rate of the weight store",
        0.001,
        1_000.0,
    ),
)

BY_NAME = {setting.name: setting for setting in SETTINGS}

MAX_SHARD_BYTES = 1_000_000
