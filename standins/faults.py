"""Injects the faults of a trace into a cluster."""

from ruddergate.experiments import trace
from standins import cluster as clusters
from standins import virtual_network


class FaultInjector:
    """Injects and clears faults of one cluster."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    def apply(self, fault: trace.TracedFault) -> None:
        """Injects one fault, or clears one if the line says so."""
        if fault.on == "config":
            self._apply_to_platform(fault)
            return
        match fault.fault:
            case "cut":
                cut = virtual_network.Cut(fault.on, fault.from_)
                self._cluster.network.cuts.append(cut)
            case "heal":
                self._heal(fault)
            case _:
                for node in self._find(fault.on):
                    self._apply_to_node(fault.fault, node)

    def clear_faults(self) -> None:
        """Clears all faults, except that killed nodes stay down."""
        self._cluster.network.cuts.clear()
        self._set_stale(False)
        nodes = [*self._cluster.vms.values(), *self._cluster.targets.values()]
        for node in nodes:
            node.process.resume()

    def _find(self, name: str) -> list[clusters.Node]:
        nodes = {**self._cluster.vms, **self._cluster.targets}
        if name in nodes:
            return [nodes[name]]
        return [node for node in nodes.values() if node.hall == name]

    def _apply_to_node(self, fault: str, node: clusters.Node) -> None:
        match fault:
            case "kill":
                if not node.process.is_dead:
                    self._cluster.kill(node)
            case "pause":
                node.process.freeze()
            case "leave":
                if not node.process.is_dead:
                    self._cluster.start_drain(node)
            case "resume":
                if node.process.is_dead or self._cluster.has_drained(node):
                    self._cluster.restart(node)
                else:
                    node.process.resume()

    def _apply_to_platform(self, fault: trace.TracedFault) -> None:
        match fault.fault:
            case "stale":
                self._set_stale(True)
            case "publish":
                self._publish_again()
            case "outage" | "cut" | "kill" | "pause":
                cut = virtual_network.Cut("config", fault.from_)
                self._cluster.network.cuts.append(cut)
            case "heal" | "resume":
                self._set_stale(False)
                self._heal(fault)

    def _publish_again(self) -> None:
        """Publishes the newest tree again, as the next revision."""
        configuration = self._cluster.configuration
        configuration.publish(configuration.find_newest_shards())

    def _set_stale(self, is_stale: bool) -> None:
        self._cluster.configuration.revisions_behind = 1 if is_stale else 0
        self._cluster.vm_list.set_frozen(is_stale)
        self._cluster.configuration.notify_watchers()

    def _heal(self, fault: trace.TracedFault) -> None:
        network = self._cluster.network
        network.cuts = [
            cut
            for cut in network.cuts
            if cut.on != fault.on or (fault.from_ and cut.from_ != fault.from_)
        ]
