"""A faulty peer that gossips that targets are draining, true or not."""

from ruddergate import environment
from ruddergate.messages import load_digest
from ruddergate.wire import codec
from standins import gateway_cluster
from standins import virtual_process

_ADDRESS = environment.Address("liar", 83)
_HALL = "hall-0"


async def announce_draining(
    cluster: gateway_cluster.GatewayCluster,
    number: int,
    incarnations: tuple[str, ...],
) -> None:
    """Sends a digest to all VMs once.

    Args:
        cluster: The cluster of the VMs.
        number: Number of the digest, higher than that of the one before.
        incarnations: Incarnations of targets, formatted as in a digest.
    """
    process = virtual_process.VirtualProcess(_ADDRESS.host, _HALL)
    env = cluster.network.make_environment(process, number)
    port = await env.bind(lambda data: None, _ADDRESS)
    digest = load_digest.LoadDigest(
        str(_ADDRESS), _HALL, 0, "run", number, (), draining=incarnations
    )
    data = codec.encode(digest)
    for vm in cluster.vms:
        port.send(data, environment.Address(vm, gateway_cluster.PEER_PORT))
    port.close()
