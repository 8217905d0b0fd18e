"""Parses the published configuration into a catalog."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias
from typing import TypeVar

from ruddergate import untrusted
from ruddergate.adapters import _private
from ruddergate.http import message
from ruddergate.settings import caller_limits
from ruddergate.settings import catalog as catalogs
from ruddergate.settings import effective
from ruddergate.settings import route as routes
from ruddergate.telemetry import logs

# Key of the configuration in the store.
KEY = "op/config"

# The platform's priorities go from 0, the most urgent, to this. Ranks go the
# other way: higher ones are served first.
_LOWEST_PRIORITY = 9
# After a larger revision, no later settings would be in force. Larger integers
# are not the same in all readers of JSON.
_MAX_REVISION = 2**53 - 1
_TENANTS = "tenants"
_STREAM_TYPE = "streaming"
_IDEMPOTENT_TYPE = "safe"
# Maximum engines for one prompt: the one that responds and 16 helpers.
_MAX_GANG_ENGINES = 17
# Concurrency of a plain service, which is not limited here. A service that
# publishes no engine parameters is a plain service.
_SERVICE_CONCURRENCY = 1_000_000
_MS_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _NumberLimits:
    """Values that a number may have, and its default."""

    minimum: float
    maximum: float
    default: float


_MAX_TOKENS = 1e9
# Parameters of engines that are used in estimates.
_ENGINE_NUMBERS: Mapping[str, _NumberLimits] = {
    "kv-capacity": _NumberLimits(1, _MAX_TOKENS, 1_000_000),
    "read_per_s": _NumberLimits(1, _MAX_TOKENS, 100_000.0),
    # Milliseconds.
    "pairs_per_m": _NumberLimits(0, 60_000, 0.0),
    "step_ms": _NumberLimits(1e-3, 60_000, 1.0),
    # Steps.
    "stride": _NumberLimits(1, 10_000, 1),
}
_LOG = logs.make_logger("store")

T = TypeVar("T", int, float)
ReadRoute: TypeAlias = Callable[[object], routes.Route | str]


def make_reader() -> Callable[[object], catalogs.Catalog | str]:
    """Returns a `read_catalog` that parses only routes that have changed.

    Nearly all routes are the same in consecutive revisions. With 1,500 routes,
    parsing all of them would block the event loop for 12.4 ms; parsing only
    the changed ones takes 2.6 ms.
    """
    cache: dict[str, tuple[object, routes.Route]] = {}

    def read_route(document: object) -> routes.Route | str:
        name = _private.get(document, "name", str, "")
        cached = cache.get(name)
        if cached is not None and untrusted.are_equal(cached[0], document):
            return cached[1]
        route = _read_route(document)
        if isinstance(route, routes.Route):
            cache[name] = (document, route)
        return route

    def read(document: object) -> catalogs.Catalog | str:
        catalog = read_catalog(document, read_route)
        if isinstance(catalog, catalogs.Catalog):
            for name in cache.keys() - catalog.route_names():
                del cache[name]
        return catalog

    return read


def read_catalog(
    document: object, read_route: ReadRoute | None = None
) -> catalogs.Catalog | str:
    """Returns the catalog, or a sentence that says what is wrong.

    Args:
        document: The published configuration.
        read_route: Parses one route.
    """
    read_route = read_route or _read_route
    revision = _private.get(document, "config-version", int, 0)
    if not 0 < revision <= _MAX_REVISION:
        return "the configuration has no valid version"
    route_documents = _private.get(document, "routes", list, [])
    found = []
    for each in route_documents:
        route = read_route(each)
        if isinstance(route, str):
            return f"configuration {revision}: {route}"
        found.append(route)
    services = _private.get(document, "services", list, [])
    pools = {pool.name: pool for pool in map(_read_pool, services)}
    # An empty list still means that keys are required; a missing one does not.
    requires_keys = _TENANTS in document
    tenants = document.get(_TENANTS, [])
    if not isinstance(tenants, list):
        shown = untrusted.describe_value(tenants)
        return f"configuration {revision}: {_TENANTS} is {shown}"
    return catalogs.Catalog(
        revision,
        found,
        dict(_read_keys(tenants)),
        pools,
        _read_limits(_private.get(document, "limits", dict, {})),
        requires_keys=requires_keys,
    )


def _read_limits(document: object) -> caller_limits.CallerLimits:
    return caller_limits.CallerLimits(
        _read_limit(document, "max-header-bytes", int),
        _read_limit(document, "max-body-bytes", int),
        _read_limit(document, "idle-timeout-ms", float),
    )


def _read_limit(document: object, field: str, type_: type[T]) -> T | None:
    """Returns a limit on callers, or None for the default."""
    limit = _private.get(document, field, type_, None)
    if limit is None or limit > 0:
        return limit
    # Such a limit would refuse every request.
    _LOG.warning(
        "Ignoring limit {}: it is {}.", field, untrusted.describe_value(limit)
    )
    return None


def _read_route(document: object) -> routes.Route | str:
    name = _private.get(document, "name", str, "")
    prefix = _private.get(document, "path-prefix", str, "")
    shares = tuple(_read_shares(document))
    if not prefix.endswith("/"):
        return f"route {name} has no path prefix that ends with a slash"
    if not shares:
        return f"route {name} has no service"
    kind = _private.get(document, "route-type", str, "")
    is_stream = kind == _STREAM_TYPE
    is_resumable = _private.get(document, "resumable", bool, False)
    repeatable = kind == _IDEMPOTENT_TYPE or (is_stream and is_resumable)
    route = routes.Route(
        name=name,
        host=_private.get(document, "hostname", str, "").lower(),
        path_prefix=prefix,
        shares=shares,
        rank=_read_rank(document),
        time_limit_ms=_private.get(document, "timeout-ms", float, 60_000.0),
        latency_slo_ms=_private.get(
            document, "target-latency-ms", float, 1_000.0
        ),
        is_stream=is_stream,
        gap_slo_ms=_private.get(document, "gap_aim_ms", float, 1_000.0),
        repeatable=repeatable,
        is_resumable=is_stream and is_resumable,
        targets_max=max(1, _private.get(document, "max-attempts", int, 1)),
        is_open=_private.get(document, "allow-anonymous", bool, False),
    )
    if (
        route.time_limit_ms <= 0.0
        or min(route.latency_slo_ms, route.gap_slo_ms) < 0.0
    ):
        # With such times, every request of the route would be refused.
        return f"route {name} has an invalid timeout or latency"
    return route


def _read_shares(document: object) -> Iterator[routes.Share]:
    for each in _private.get(document, "traffic-split", list, []):
        pool = _private.get(each, "service", str, "")
        weight = _private.get(each, "weight", float, 0.0)
        if pool and weight > 0.0:
            yield routes.Share(pool, weight)
    pool = _private.get(document, "service", str, "")
    if pool:
        yield routes.Share(pool, 1.0)


def _read_rank(document: object) -> int:
    return _LOWEST_PRIORITY - _private.get(
        document, "priority", int, _LOWEST_PRIORITY
    )


def _read_keys(
    tenants: list[object],
) -> Iterator[tuple[str, catalogs.Workspace]]:
    for each in tenants:
        name = _private.get(each, "name", str, "")
        if not message.is_field_value(message.make_field_value(name)):
            # Such a name cannot be sent to targets.
            continue
        workspace = catalogs.Workspace(name, _read_rank(each))
        for key in _private.get(each, "api-keys", list, []):
            if name and isinstance(key, str) and key:
                yield key, workspace


def _read_pool(document: object) -> effective.Pool:
    name = _private.get(document, "name", str, "")
    engine = _private.get(document, "engine", dict, {})
    numbers = {
        field: _read_engine_number(name, engine, field)
        for field in _ENGINE_NUMBERS
    }
    return effective.Pool(
        name=name,
        pool_kind="engine" if engine else "service",
        model="",
        model_version="",
        adapters="",
        role="both",
        memory_tokens=int(numbers["kv-capacity"]),
        prefill_tokens_per_s=numbers["read_per_s"],
        attention_ms_per_m_pairs=numbers["pairs_per_m"],
        decode_ms_per_token=numbers["step_ms"],
        service_concurrency=_SERVICE_CONCURRENCY,
        exports_kv=False,
        checks_fence=False,
        checks_key=False,
        gang_engines_max=_MAX_GANG_ENGINES if "hop_ms" in engine else 1,
        weight_reads_per_s_max=0.0,
        iteration_ms=numbers["stride"] * numbers["step_ms"]
        if "step_ms" in engine
        else 0.0,
    )


def _read_engine_number(
    pool: str, engine: Mapping[str, object], field: str
) -> float:
    """Returns a parameter of engines, or its default if it has no meaning.

    Estimates divide by most of them.
    """
    limits = _ENGINE_NUMBERS[field]
    if field not in engine:
        return limits.default
    value = engine[field]
    is_number = type(value) in (int, float)
    if is_number and limits.minimum <= value <= limits.maximum:
        return float(value)
    _LOG.warning(
        "Ignoring parameter {} of the engines of {}: it is {}.",
        field,
        untrusted.describe_value(pool),
        untrusted.describe_value(value),
    )
    return limits.default
