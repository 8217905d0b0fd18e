"""A peer that tells VMs of targets that they leave, whether they do or not."""

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
    words: tuple[str, ...],
) -> None:
    """Tells all VMs once.

    Args:
        cluster: The VMs.
        number: Of the digest; each has a higher one than the one before.
        words: Lives of targets, as VMs tell them.
    """
    process = virtual_process.VirtualProcess(_ADDRESS.host, _HALL)
    env = cluster.network.make_environment(process, number)
    port = await env.bind(lambda data: None, _ADDRESS)
    digest = load_digest.LoadDigest(
        str(_ADDRESS), _HALL, 0, "run", number, (), leaving=words
    )
    data = codec.encode(digest)
    for vm in cluster.vms:
        port.send(data, environment.Address(vm, gateway_cluster.PEER_PORT))
    port.close()
