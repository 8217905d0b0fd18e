"""Looks up routing policies by name."""

from collections.abc import Callable
from collections.abc import Mapping

from ruddergate.decisions.routing import baselines
from ruddergate.decisions.routing import by_length
from ruddergate.decisions.routing import by_region
from ruddergate.decisions.routing import peak_ewma
from ruddergate.decisions.routing import policy as policies

DEFAULT = "by_length"

FACTORIES: Mapping[str, Callable[[], policies.Policy]] = {
    "by_length": by_length.make_by_length,
    "by_region": by_region.make_by_region,
    "least_recent": baselines.make_least_recent,
    "least_requests": baselines.make_least_requests,
    "least_tokens": baselines.make_least_tokens,
    "peak_ewma_p2c": peak_ewma.make_peak_ewma_p2c,
    "prefix_affinity": baselines.make_prefix_affinity,
    "random": baselines.make_random,
    "round_robin": baselines.make_round_robin,
}


def make_policy(name: str) -> policies.Policy:
    """Returns a new policy; raises KeyError for an unknown name."""
    return FACTORIES[name]()
