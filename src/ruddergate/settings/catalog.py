"""Lookup of routes, workspaces and pools in one revision of the settings."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from ruddergate.settings import caller_limits
from ruddergate.settings import effective
from ruddergate.settings import route as routes


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """The owner of an API key.

    Attributes:
        name: The workspace.
        rank: Its priority, which takes precedence over that of routes; higher
            ranks are served first.
    """

    name: str
    rank: int


class Catalog:
    """Lookups in one revision; immutable.

    Attributes:
        revision: Number of the revision; later ones are higher.
        workspaces: Workspaces by API key.
        requires_keys: Whether routes that are not open require a key, even if
            there is none.
        pools: Effective settings of pools, by name.
        limits: Limits on what one caller may send.
    """

    def __init__(
        self,
        revision: int,
        routes_: Iterable[routes.Route],
        workspaces: Mapping[str, Workspace],
        pools: Mapping[str, effective.Pool],
        limits: caller_limits.CallerLimits = caller_limits.NONE,
        *,
        requires_keys: bool,
    ) -> None:
        self.revision = revision
        self.workspaces = workspaces
        self.requires_keys = requires_keys
        routes_ = tuple(routes_)
        self.pools = {
            name: dataclasses.replace(
                pool, gap_slos_ms=_find_gap_slos_ms(name, routes_)
            )
            for name, pool in pools.items()
        }
        self.limits = limits
        self._routes = {(each.host, each.path_prefix): each for each in routes_}

    def find_route(self, host: str, path: str) -> routes.Route | None:
        """Returns the route with the longest prefix of the path, if any."""
        name = host.partition(":")[0].lower()
        for prefix in _prefixes(path):
            found = self._routes.get((name, prefix))
            if found is not None:
                return found
        return None

    def find_pool(self, name: str) -> effective.Pool | None:
        """Returns the effective settings of a pool, or None."""
        return self.pools.get(name)

    def route_names(self) -> frozenset[str]:
        """Returns the names of all routes."""
        return frozenset(each.name for each in self._routes.values())

    def __len__(self) -> int:
        return len(self._routes)


EMPTY = Catalog(0, (), {}, {}, requires_keys=True)


def _find_gap_slos_ms(
    pool: str, routes_: Iterable[routes.Route]
) -> tuple[float, ...]:
    """Returns the different gap SLOs of the streams to a pool, sorted."""
    slos_ms = {
        each.gap_slo_ms
        for each in routes_
        if each.is_stream and any(share.pool == pool for share in each.shares)
    }
    return tuple(sorted(slos_ms))


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
