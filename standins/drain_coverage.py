"""How VMs learned that targets are draining, and their state in the end.

Counts show the coverage of the schedules: a way to learn of it that no seed
took is not tested.
"""

import collections
from collections.abc import Iterable

from ruddergate.entry import gateway as gateways
from ruddergate.fleet import condition
from standins import gateway_cluster

# After this time without a fault, all VMs know the current state.
SETTLE_S = 12.0

# Names of the counters.
LEARNED_FROM_ANSWER = "learned from answer"
LEARNED_FROM_PEER = "learned from peer"
REFUTED = "suspected, refuted"
WITHHELD = "withheld"
RESTARTED_UNLISTED = "restarted and draining before it was listed"
LATE_START_FIELD = "start time reported late"
FALSE_GOSSIP = "false gossip"


def count_coverage(
    all_gateways: Iterable[gateways.Gateway],
) -> collections.Counter[str]:
    """Returns how often each way was taken, from the gateways' metrics."""
    counts: collections.Counter[str] = collections.Counter()
    for gateway in all_gateways:
        metrics = gateway.context.metrics
        for labels, count in metrics.drains_detected.get_all():
            counts[f"learned from {labels['from']}"] += int(count)
        for _, count in metrics.drains_refuted.get_all():
            counts[REFUTED] += int(count)
        for labels, count in metrics.skipped_sends.get_all():
            name = f"{WITHHELD}, {labels['reason']} {labels['part']}"
            counts[name] += int(count)
    return counts


def find_wrongly_draining(
    cluster: gateway_cluster.GatewayCluster,
) -> list[str]:
    """Returns targets that a VM wrongly considers draining.

    Call it after SETTLE_S without a fault.
    """
    not_draining = {
        node.replica.name: node.replica.started_ms
        for node in cluster.targets.values()
        if not node.process.is_dead and not node.replica.has_announced_draining
    }
    return [
        f"{vm.name} considers {target.target_id} draining, which never said so"
        for vm in cluster.vms.values()
        if not (vm.process.is_dead or vm.task.done())
        for target in vm.gateway.context.view.listing.targets
        if target.condition is condition.Condition.DRAINING
        and not_draining.get(target.target_id) == target.started_ms
    ]
