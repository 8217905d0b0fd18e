"""How long it takes until all VMs know that a target is draining.

The bound is the sum of the poll intervals of a store reader and of a follower,
of timeouts of requests to an unreachable reader, and of a call to the store. It
must hold for any phase of the polls, so each fault is run with several start
times.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import loguru

from ruddergate.entry import poll_config
from ruddergate.fleet import condition
from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_fixture

# A draining target gets no requests later than this.
_MAX_DRAIN_DELAY_S = 2.0
_CHECK_INTERVAL_S = 0.01
# Start times for each fault, and the interval between them.
_START_COUNT = 5
_START_INTERVAL_S = 0.21
_VMS = 9

_Fault = Callable[[gateway_fixture.Fixture, str], Awaitable[None]]


async def _apply_nothing(fixture: gateway_fixture.Fixture, reader: str) -> None:
    """Applies no fault."""


async def _kill_reader(fixture: gateway_fixture.Fixture, reader: str) -> None:
    """Kills the store reader of the hall."""
    fixture.cluster.kill(fixture.cluster.vms.pop(reader))


async def _freeze_reader(fixture: gateway_fixture.Fixture, reader: str) -> None:
    """Freezes the store reader of the hall."""
    fixture.cluster.vms.pop(reader).process.freeze()


async def _cut_from_store(
    fixture: gateway_fixture.Fixture, reader: str
) -> None:
    """Partitions the store reader of the hall from the store."""
    cut = virtual_network.Cut(reader, gateway_cluster.STORE_NAME)
    fixture.cluster.network.cuts.append(cut)
    del fixture.cluster.vms[reader]


async def _restore_store(fixture: gateway_fixture.Fixture, reader: str) -> None:
    """Restores the store from a copy that is two seconds old."""
    copy = fixture.cluster.store.take_snapshot()
    await asyncio.sleep(2.0)
    fixture.cluster.store.restore(copy)


async def _restart_vm(fixture: gateway_fixture.Fixture, reader: str) -> None:
    """Restarts a VM that its peers already know."""
    node = fixture.cluster.vms["vm-3"]
    fixture.cluster.kill(node)
    fixture.cluster.start_vm(node)
    await asyncio.sleep(0.05)


_FAULTS = (
    _apply_nothing,
    _kill_reader,
    _freeze_reader,
    _cut_from_store,
    _restore_store,
    _restart_vm,
)


def _find_reader(fixture: gateway_fixture.Fixture) -> str:
    peers = fixture.cluster.vms["vm-0"].gateway._peers
    return peers.rank_hall()[0].partition(":")[0]


def _knows_draining(node: gateway_cluster.Node, target_id: str) -> bool:
    listed = node.gateway.context.view.listing.targets
    return any(
        each.target_id == target_id
        and each.condition is condition.Condition.DRAINING
        for each in listed
    )


async def _measure_delay_s(
    fixture: gateway_fixture.Fixture, apply_fault: _Fault
) -> float:
    """Returns the time until the last VM knows that a target is draining."""
    loop = asyncio.get_running_loop()
    await apply_fault(fixture, _find_reader(fixture))
    node = fixture.cluster.targets["service-0"]
    fixture.cluster.drain_target(node)
    started_s = loop.time()
    while loop.time() < started_s + 2.0 * _MAX_DRAIN_DELAY_S:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        vms = fixture.cluster.vms.values()
        if all(_knows_draining(vm, node.replica.name) for vm in vms):
            break
    return loop.time() - started_s


def _find_max_delay_s(
    apply_fault: _Fault, vms: int, poll: poll_config.PollConfig | None = None
) -> float:
    """Returns the longest delay over all start times."""
    delays_s: list[float] = []
    for start in range(_START_COUNT):

        async def scenario(
            fixture: gateway_fixture.Fixture, start: int = start
        ) -> None:
            await asyncio.sleep(start * _START_INTERVAL_S)
            delays_s.append(await _measure_delay_s(fixture, apply_fault))

        gateway_fixture.run_scenario(
            scenario, vms=vms, halls=1, polling=poll or poll_config.PollConfig()
        )
    return max(delays_s)


class DrainDelayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_each_fault_keeps_the_bound(self) -> None:
        for apply_fault in _FAULTS:
            with self.subTest(fault=apply_fault.__doc__):
                self.assertLess(
                    _find_max_delay_s(apply_fault, _VMS), _MAX_DRAIN_DELAY_S
                )

    def test_hall_of_two_vms_keeps_the_bound(self) -> None:
        self.assertLess(
            _find_max_delay_s(_apply_nothing, 2), _MAX_DRAIN_DELAY_S
        )

    def test_polling_half_as_often_exceeds_the_bound(self) -> None:
        poll = poll_config.PollConfig(interval_ms=2_600.0)
        self.assertGreater(
            _find_max_delay_s(_apply_nothing, _VMS, poll), _MAX_DRAIN_DELAY_S
        )
        self.assertGreater(
            _find_max_delay_s(_apply_nothing, 2, poll), _MAX_DRAIN_DELAY_S
        )


if __name__ == "__main__":
    unittest.main()
