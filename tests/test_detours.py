"""Guarantees of connections that a peer carries to a target."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import carriers
from ruddergate.entry import detour_client
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import virtual_network
from standins import virtual_process
from tests import gateway_fixture
from tests import test_lost_links

_SILENT = virtual_network.CutMode.SILENT
# Enough for a VM to notice that its links are cut.
_NOTICE_S = 1.0
_PEER_PORT = gateway_cluster.PEER_PORT
_REQUEST = b"POST /short/x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"


class DetourTest(unittest.TestCase):
    """vm-0 has lost its links to all targets, its peers have not."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def run_cut(
        self,
        scenario: Callable[[gateway_fixture.Fixture], Awaitable[None]],
        **sizes: int,
    ) -> None:
        async def run(fixture: gateway_fixture.Fixture) -> None:
            test_lost_links.cut_from_targets(fixture.cluster, 1, _SILENT)
            await test_lost_links.call_all_vms(fixture, _NOTICE_S)
            await scenario(fixture)

        gateway_fixture.run_scenario(run, **sizes)

    def test_work_stops_when_the_caller_disconnects(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await asyncio.sleep(2.0)
            result = await fixture.call("short", disconnects_after_ms=150.0)
            self.assertEqual(result.status, 200)
            await asyncio.sleep(0.4)
            self.assertEqual(_count_streams(fixture), 0)
            self.assertEqual(_count_carried(fixture), 0)

        self.run_cut(scenario)

    def test_nothing_runs_twice_if_the_carrier_is_killed(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for number in range(6):
                pending = [
                    asyncio.ensure_future(
                        fixture.call(route, body=f"{number} {n}".encode())
                    )
                    for n, route in enumerate(
                        ("short", "once", "unsafe", "safe") * 2
                    )
                ]
                await asyncio.sleep(0.02 + 0.03 * number)
                node = fixture.cluster.vms[f"vm-{1 + number % 2}"]
                fixture.cluster.kill(node)
                await asyncio.sleep(0.1)
                fixture.cluster.start_vm(node)
                results = await asyncio.gather(*pending)
                broken = gateway_guarantees.find_broken(
                    fixture.cluster, results
                )
                self.assertEqual(broken, [])
                resumable = [r for r in results if r.call.route == "short"]
                self.assertEqual(test_lost_links.count_served(resumable), 1.0)
                # First attempts fill the retry budget again.
                await test_lost_links.call_all_vms(fixture, 2.0)

        self.run_cut(scenario)

    def test_large_prompts_are_prefilled_by_helpers(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call(
                "long", prompt_tokens=600_000, output_tokens=460
            )
            self.assertEqual((result.status, result.is_complete), (200, True))
            await asyncio.sleep(1.0)
            held = [
                node.replica.held_tokens()
                for node in fixture.cluster.targets.values()
            ]
            self.assertEqual(sum(held), 0)

        self.run_cut(scenario)

    def test_large_bodies_arrive_whole(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            body = bytes(range(256)) * 8_000
            result = await fixture.call("unsafe", body=body)
            self.assertEqual(result.status, 200)
            self.assertEqual(len(fixture.cluster.list_runs(body)), 1)

        self.run_cut(scenario)

    def test_planned_stop_of_the_carrier_cuts_off_nothing(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            pending = [
                asyncio.ensure_future(fixture.call("once", output_tokens=4_000))
                for _ in range(6)
            ]
            await asyncio.sleep(0.3)
            self.assertEqual(_count_carried(fixture), 6)
            for name in ("vm-1", "vm-2"):
                fixture.cluster.vms[name].stop.set()
            results = await asyncio.gather(*pending)
            self.assertEqual(test_lost_links.count_served(results), 1.0)

        self.run_cut(scenario)

    def test_drain_known_to_the_carrier_alone_is_respected(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            network = cluster.network
            network.cut(
                virtual_network.Cut("vm-0", gateway_cluster.STORE_NAME, _SILENT)
            )
            for peer in ("vm-1", "vm-2"):
                gateway = cluster.vms[peer].gateway
                gateway._peers._summarize_draining = lambda: ()
                gateway.handle_peer_request = lambda request: None
            node = cluster.targets["service-0"]
            cluster.drain_target(node)
            await asyncio.sleep(2.0)
            before = len(node.replica.arrivals)
            calls = [fixture.call("safe") for _ in range(20)]
            results = await asyncio.gather(*calls)
            self.assertEqual(len(node.replica.arrivals), before)
            self.assertEqual(test_lost_links.count_served(results), 1.0)

        self.run_cut(scenario)

    def test_peers_of_the_release_before_carry_nothing(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for name in ("vm-1", "vm-2"):
                gateway = fixture.cluster.vms[name].gateway
                gateway._peers._count_carried = lambda: carriers.CARRIES_NONE
            await asyncio.sleep(1.2)
            results = await test_lost_links.call_all_vms(fixture, 1.0)
            at_cut = [each for each in results if each.call.vm == "vm-0"]
            self.assertEqual({each.status for each in at_cut}, {503})
            self.assertEqual(_count_carried(fixture), 0)

        self.run_cut(scenario)

    def test_frozen_carrier_sends_nothing_when_it_resumes(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            async def attempt() -> None:
                env = _make_environment(fixture, "vm-0")
                target = fixture.cluster.targets["service-0"]
                address = environment.Address(target.name, 90)
                pair = await detour_client.connect(
                    env, f"vm-0:{_PEER_PORT}", carrier, address, False
                )
                reader, writer = pair
                peer.process.freeze()
                writer.write(_REQUEST)
                await asyncio.sleep(1.0)
                peer.process.resume()
                with self.assertRaises(environment.NotSentError):
                    await reader.read(100)

            peer = fixture.cluster.vms["vm-1"]
            carrier = f"vm-1:{_PEER_PORT}"
            replica = fixture.cluster.targets["service-0"].replica
            before = len(replica.arrivals)
            await fixture.cluster.vms["vm-0"].process.start(attempt)
            await asyncio.sleep(1.0)
            self.assertEqual(len(replica.arrivals), before)

        self.run_cut(scenario)


class RejectionTest(unittest.TestCase):
    """Connections that a VM does not carry."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _connect(
        self,
        address: environment.Address,
        prepare: Callable[[gateway_fixture.Fixture], None] = lambda _: None,
        process: virtual_process.VirtualProcess | None = None,
        own: str = f"vm-0:{_PEER_PORT}",
    ) -> detour_client.Failure:
        """Returns why vm-1 does not carry a connection."""
        found = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            prepare(fixture)
            source = process or fixture.cluster.vms["vm-0"].process
            env = fixture.cluster.network.make_environment(source, 9)

            async def connect() -> None:
                found.append(
                    await detour_client.connect(
                        env,
                        own,
                        f"vm-1:{_PEER_PORT}",
                        address,
                        False,
                    )
                )

            await source.start(connect)

        gateway_fixture.run_scenario(scenario)
        self.assertIsInstance(found[0], detour_client.Failure)
        return found[0]

    def test_addresses_that_are_not_listed(self) -> None:
        address = environment.Address(gateway_cluster.STORE_NAME, 70)
        self.assertIn("not_listed", self._connect(address).detail)

    def test_connections_of_strangers(self) -> None:
        stranger = virtual_process.VirtualProcess("stranger", "")
        address = environment.Address("service-0", 90)
        own = f"stranger:{_PEER_PORT}"
        failure = self._connect(address, process=stranger, own=own)
        self.assertFalse(failure.has_ended)

    def test_more_connections_than_the_limit(self) -> None:
        def prepare(fixture: gateway_fixture.Fixture) -> None:
            server = fixture.cluster.vms["vm-1"].gateway._detours
            server.carried = carriers.MAX_CARRIED

        address = environment.Address("service-0", 90)
        self.assertIn("busy", self._connect(address, prepare).detail)

    def test_target_that_the_carrier_itself_does_not_reach(self) -> None:
        def prepare(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-1"].gateway
            now_ms = gateway.context.env.now_ms()
            gateway._connector.links.note_bypassed("service-0:90", now_ms)

        address = environment.Address("service-0", 90)
        self.assertIn("unreachable", self._connect(address, prepare).detail)

    def test_malformed_requests(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            source = fixture.cluster.vms["vm-0"].process
            env = fixture.cluster.network.make_environment(source, 9)

            async def send(data: bytes) -> bytes:
                address = environment.Address("vm-1", _PEER_PORT)
                reader, writer = await env.connect(address)
                writer.write(data)
                async with asyncio.timeout(2.0):
                    received = await reader.read(100)
                writer.close()
                return received

            for data in (b"\x00\x00\x00\x05hello", b"\xff" * 8, b"GET / HTTP"):
                with self.subTest(data):
                    received = await source.start(lambda data=data: send(data))
                    self.assertEqual(received, b"")
            self.assertEqual(_count_carried(fixture), 0)

        gateway_fixture.run_scenario(scenario)


def _count_streams(fixture: gateway_fixture.Fixture) -> int:
    return sum(
        len(node.replica.engine.streams)
        for node in fixture.cluster.targets.values()
        if node.replica.engine
    )


def _count_carried(fixture: gateway_fixture.Fixture) -> int:
    return sum(
        node.gateway.count_carried() for node in fixture.cluster.vms.values()
    )


def _make_environment(
    fixture: gateway_fixture.Fixture, vm: str
) -> environment.Environment:
    process = fixture.cluster.vms[vm].process
    return fixture.cluster.network.make_environment(process, 9)


if __name__ == "__main__":
    unittest.main()
