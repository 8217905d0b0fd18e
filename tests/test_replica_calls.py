"""Calls to targets: what a process that stood still makes of an answer."""

import asyncio
import dataclasses
import unittest

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.platform import upstream
from ruddergate.relay import hints as hint_types
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.settings import route as routes
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("target", 1)
_TARGET = targets.Target("t-1", "p", "h", _ADDRESS, condition.Condition.LIVE)
_ROUTE = routes.Route(
    "r",
    "a.example",
    "/a/",
    (routes.Share("p", 1.0),),
    0,
    10_000.0,
    300.0,
    False,
    0.0,
    True,
    False,
    2,
    True,
)
_FIRST_MS = 900.0


def _make_errand(now_ms: float) -> upstream_requests.UpstreamRequest:
    payload = payloads.Payload(
        _ROUTE,
        "POST",
        "a.example",
        "/a/b",
        (("x-attempt-id", "r1"),),
        b"",
        "",
    )
    timeouts = upstream_requests.Timeouts(250.0, _FIRST_MS, _FIRST_MS)
    return upstream_requests.UpstreamRequest(
        payload, _TARGET, "w", now_ms + 10_000.0, 3, "", (), timeouts
    )


async def _play(stands_still_ms: float) -> list[response_events.Event]:
    """Sends a call that is answered shortly after its patience has ended."""
    network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
    far = virtual_process.VirtualProcess("target", "h")

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        await asyncio.sleep((_FIRST_MS + 30.0) / 1000.0)
        return message.Response(200, {"x-replica-signature": "s"}, b"ok")

    serving = network.make_environment(far, 1)
    handler = server.make_stream_handler(handle, server.Limits())
    await far.start(lambda: serving.serve(handler, _ADDRESS))
    near = virtual_process.VirtualProcess("vm", "h")
    plain = network.make_environment(near, 1)
    began_ms = plain.now_ms()

    def now_ms() -> float:
        # The steady clock runs on while the process, and its timers, stand.
        passed = plain.now_ms()
        return passed + (stands_still_ms if passed > began_ms + 500.0 else 0.0)

    env = dataclasses.replace(plain, now_ms=now_ms)
    send = upstream.make_send(env, hint_types.ignore_hints)

    async def collect() -> list[response_events.Event]:
        return [event async for event in send(_make_errand(now_ms()))]

    return await near.start(collect)


class GateTest(unittest.TestCase):
    """The last question before the first byte of a call."""

    def test_nothing_is_sent_when_it_is_refused_after_the_connection(
        self,
    ) -> None:
        asked: list[bool] = []
        refusal = outcomes.refuse(outcomes.Reason.TARGET_LEAVING, "it leaves")
        came: list[message.IncomingRequest] = []

        async def handle(
            incoming: message.IncomingRequest,
        ) -> message.Response:
            came.append(incoming)
            return message.Response(200, {"x-replica-signature": "s"}, b"ok")

        async def run() -> list[response_events.Event]:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            far = virtual_process.VirtualProcess("target", "h")
            serving = network.make_environment(far, 1)
            connected: list[bool] = []

            def refuse() -> outcomes.NotServed:
                asked.append(bool(connected))
                return refusal

            handler = server.make_stream_handler(handle, server.Limits())
            await far.start(lambda: serving.serve(handler, _ADDRESS))
            near = virtual_process.VirtualProcess("vm", "h")
            plain = network.make_environment(near, 1)

            async def connect(address: environment.Address) -> tuple:
                streams = await plain.connect(address)
                connected.append(True)
                return streams

            env = dataclasses.replace(plain, connect=connect)
            send = upstream.make_send(env, hint_types.ignore_hints)
            upstream_request = dataclasses.replace(
                _make_errand(env.now_ms()), check_admission=refuse
            )

            async def collect() -> list[response_events.Event]:
                return [event async for event in send(upstream_request)]

            return await near.start(collect)

        self.assertEqual(virtual_process.run(run), [refusal])
        self.assertEqual((asked, came), ([True], []))


class PatienceTest(unittest.TestCase):
    def test_silence_ends_a_call(self) -> None:
        (ended,) = virtual_process.run(lambda: _play(0.0))
        self.assertIs(ended.reason, outcomes.Reason.TARGET_LOST)

    def test_answer_is_looked_for_after_standing_still(self) -> None:
        (ended,) = virtual_process.run(lambda: _play(3_000.0))
        self.assertEqual(ended.body, b"ok")
