"""Lets engines of a cluster fail for a while, in ways drawn at random."""

import asyncio
from collections.abc import Sequence
import random

from standins import gateway_cluster
from standins import platform_replica

KINDS = (
    "mute",
    "hang",
    "pause",
    "freeze",
    "stall",
    "crash",
    "refuse",
    "break_off",
)
_STALL_S = 6.0


async def make_trouble(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random, kind: str
) -> None:
    """Lets one engine, all but one or all of them fail, and recover.

    Args:
        cluster: The cluster.
        rng: Draws the engines and the duration.
        kind: One of KINDS.
    """
    nodes = [
        node
        for node in cluster.targets.values()
        if node.replica.engine is not None and not node.process.is_dead
    ]
    rng.shuffle(nodes)
    chosen = nodes[: rng.choice((1, len(nodes) - 1, len(nodes)))]
    duration_s = rng.choice((0.5, 2.0, 8.0)) * rng.uniform(0.2, 1.0)
    if kind == "crash":
        await _crash(cluster, rng, chosen)
        return
    probability = rng.choice((0.3, 1.0))
    retry_after = rng.choice(("", "1", "5"))
    replicas = [node.replica for node in chosen]
    for node in chosen:
        _begin(node, kind, probability, retry_after)
    await asyncio.sleep(duration_s)
    for node, replica in zip(chosen, replicas, strict=True):
        replica.faults = platform_replica.ReplicaFaults()
        replica.engine.resume()
        # It may have crashed and been replaced meanwhile.
        if node.replica is replica and node.process.is_frozen:
            node.process.resume()


async def _crash(
    cluster: gateway_cluster.GatewayCluster,
    rng: random.Random,
    chosen: Sequence[gateway_cluster.Node],
) -> None:
    for node in chosen:
        await asyncio.sleep(rng.choice((0.0, 0.3)))
        if not node.process.is_dead:
            cluster.crash_target(node)


def _begin(
    node: gateway_cluster.Node, kind: str, probability: float, retry_after: str
) -> None:
    replica = node.replica
    match kind:
        case "mute":
            replica.faults.mute = True
        case "hang":
            replica.faults.hang = probability
        case "pause":
            replica.engine.pause()
        case "freeze":
            node.process.freeze()
        case "stall":
            replica.faults.silent_s = _STALL_S
        case "refuse":
            replica.faults.refuse = probability
            replica.faults.retry_after = retry_after
        case "break_off":
            replica.faults.break_off = probability
