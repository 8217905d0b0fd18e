"""By which ways VMs came to know of leavings, and what they believe at last.

A way that no seed reached is not shown to hold.
"""

import collections
from collections.abc import Iterable

from ruddergate.entry import gateway as gateways
from ruddergate.fleet import condition
from standins import gateway_cluster

# Without a fault for so long, all VMs go by what is so.
SETTLE_S = 12.0

# Names of the ways, as they are counted.
LEARNED_FROM_ANSWER = "heard by answer"
LEARNED_FROM_PEER = "heard by peer"
REFUTED = "asked, does not leave"
WITHHELD = "withheld"
RESTARTED_UNLISTED = "back and leaving before it was listed"
LATE_START_FIELD = "start told late"
FALSE_GOSSIP = "wrong words"


def count_events_seen(
    found: Iterable[gateways.Gateway],
) -> collections.Counter[str]:
    """Returns how often each way was taken, by what gateways have counted."""
    ways: collections.Counter[str] = collections.Counter()
    for gateway in found:
        metrics = gateway.context.metrics
        for labels, count in metrics.leavings_heard.get_all():
            ways[f"heard by {labels['from']}"] += int(count)
        for _, count in metrics.leavings_denied.get_all():
            ways[REFUTED] += int(count)
        for labels, count in metrics.sends_withheld.get_all():
            name = f"{WITHHELD}, {labels['reason']} {labels['part']}"
            ways[name] += int(count)
    return ways


def find_wrongly_draining(
    cluster: gateway_cluster.GatewayCluster,
) -> list[str]:
    """Returns targets that a VM holds to leave, though they never said so.

    It is to be asked after REST_S without a fault.
    """
    sound = {
        node.replica.name: node.replica.started_ms
        for node in cluster.targets.values()
        if not node.process.is_dead and not node.replica.has_announced_draining
    }
    return [
        f"{vm.name} holds {target.target_id} to leave, which never said so"
        for vm in cluster.vms.values()
        if not (vm.process.is_dead or vm.task.done())
        for target in vm.gateway.context.view.listing.targets
        if target.condition is condition.Condition.LEAVING
        and sound.get(target.target_id) == target.born_ms
    ]
