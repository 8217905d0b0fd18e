"""Requests to targets: admission checks and timeouts."""

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
from ruddergate.platform import callers
from ruddergate.platform import upstream
from ruddergate.relay import hints as hint_types
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.settings import route as routes
from standins import virtual_network
from standins import virtual_process
from tests import upstream_fixture

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
_RESPONSE_TIMEOUT_MS = 900.0


def _make_request(now_ms: float) -> upstream_requests.UpstreamRequest:
    payload = payloads.Payload(
        _ROUTE,
        "POST",
        "a.example",
        "/a/b",
        (("x-attempt-id", "r1"),),
        b"",
        "",
    )
    timeouts = upstream_requests.Timeouts(
        250.0, _RESPONSE_TIMEOUT_MS, _RESPONSE_TIMEOUT_MS
    )
    return upstream_requests.UpstreamRequest(
        payload, _TARGET, "w", now_ms + 10_000.0, 3, "", (), timeouts
    )


async def _send_request(
    paused_ms: float, response_ms: float = _RESPONSE_TIMEOUT_MS + 30.0
) -> list[response_events.Event]:
    """Sends a request that is answered shortly after its timeout.

    Args:
        paused_ms: How long this process is paused before the response.
        response_ms: How long the target takes to respond.
    """
    network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
    target_process = virtual_process.VirtualProcess("target", "h")

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        await asyncio.sleep(response_ms / 1000.0)
        return message.Response(200, {"x-replica-signature": "s"}, b"ok")

    target_env = network.make_environment(target_process, 1)
    handler = server.make_stream_handler(handle, server.Limits())
    await target_process.start(lambda: target_env.serve(handler, _ADDRESS))
    vm_process = virtual_process.VirtualProcess("vm", "h")
    base_env = network.make_environment(vm_process, 1)
    began_ms = base_env.now_ms()

    def now_ms() -> float:
        # The clock runs on while the process and its timers are paused.
        base_ms = base_env.now_ms()
        return base_ms + (paused_ms if base_ms > began_ms + 500.0 else 0.0)

    env = dataclasses.replace(base_env, now_ms=now_ms)
    send = upstream.make_send(env, hint_types.ignore_hints)

    async def collect() -> list[response_events.Event]:
        return [event async for event in send(_make_request(now_ms()))]

    return await vm_process.start(collect)


class RefusedStatusTest(unittest.TestCase):
    """Statuses that tell callers that their request has not run.

    Guards against a call that has run and is answered as if it had not: these
    statuses were passed on from targets that did not say so.
    """

    def _receive(
        self, status: int, header: str, is_stream: bool
    ) -> response_events.Event:
        data = (
            f"HTTP/1.1 {status} S\r\nx-replica-signature: s\r\n{header}"
            "retry-after: 1\r\ncontent-length: 2\r\n\r\nno"
        ).encode()
        return upstream_fixture.receive(data, is_stream)[-1]

    def test_refusal_that_may_have_run_is_no_refusal(self) -> None:
        for status in (408, 429, 503):
            for is_stream in (False, True):
                found = self._receive(status, "", is_stream)
                self.assertIsInstance(found, outcomes.NotServed)
                self.assertIs(found.ran, outcomes.Ran.UNKNOWN)
                response = callers.make_caller_protocol().write_failure(found)
                self.assertEqual(response.status, 502)

    def test_refusal_that_has_not_run_stays_one(self) -> None:
        for status in (400, 408, 429, 503):
            for is_stream in (False, True):
                found = self._receive(
                    status, "x-not-executed: 1\r\n", is_stream
                )
                self.assertIs(found.ran, outcomes.Ran.NOT_RUN)

    def test_other_errors_are_passed_on(self) -> None:
        for status in (400, 404, 500, 501, 502, 504):
            for is_stream in (False, True):
                found = self._receive(status, "", is_stream)
                self.assertIsInstance(found, response_events.CompleteResponse)
                self.assertEqual((found.status, found.body), (status, b"no"))


class LoadHeaderTest(unittest.TestCase):
    """The load that a target reports with a response."""

    # A number in other digits ended the request, and its caller lost a whole
    # response.
    def test_malformed_load_is_ignored(self) -> None:
        for text, loads in (
            ("1,2,8", 1),
            ("1\xb2,0,8", 0),
            ("\xb2,0,8", 0),
            ("9" * 5_000 + ",0,8", 0),
            ("-1,0,8", 0),
            ("1", 0),
            ("", 0),
        ):
            data = (
                "HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n"
                f"x-replica-load: {text}\r\ncontent-length: 2\r\n\r\nok"
            ).encode("latin-1")
            events = upstream_fixture.receive(data, False)
            self.assertIsInstance(
                events[-1], response_events.CompleteResponse, text[:9]
            )
            reported = [
                each
                for each in events
                if isinstance(each, response_events.LoadReported)
            ]
            self.assertEqual(len(reported), loads, text[:9])


class AdmissionCheckTest(unittest.TestCase):
    """The admission check right before the first byte of a request."""

    def test_nothing_is_sent_if_refused_after_connecting(
        self,
    ) -> None:
        was_connected: list[bool] = []
        refusal = outcomes.refuse(
            outcomes.Reason.TARGET_LEAVING, "target is draining"
        )
        received: list[message.IncomingRequest] = []

        async def handle(
            incoming: message.IncomingRequest,
        ) -> message.Response:
            received.append(incoming)
            return message.Response(200, {"x-replica-signature": "s"}, b"ok")

        async def run() -> list[response_events.Event]:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            target_process = virtual_process.VirtualProcess("target", "h")
            target_env = network.make_environment(target_process, 1)
            connected: list[bool] = []

            def refuse() -> outcomes.NotServed:
                was_connected.append(bool(connected))
                return refusal

            handler = server.make_stream_handler(handle, server.Limits())
            await target_process.start(
                lambda: target_env.serve(handler, _ADDRESS)
            )
            vm_process = virtual_process.VirtualProcess("vm", "h")
            base_env = network.make_environment(vm_process, 1)

            async def connect(address: environment.Address) -> tuple:
                streams = await base_env.connect(address)
                connected.append(True)
                return streams

            env = dataclasses.replace(base_env, connect=connect)
            send = upstream.make_send(env, hint_types.ignore_hints)
            upstream_request = dataclasses.replace(
                _make_request(env.now_ms()), check_admission=refuse
            )

            async def collect() -> list[response_events.Event]:
                return [event async for event in send(upstream_request)]

            return await vm_process.start(collect)

        self.assertEqual(virtual_process.run(run), [refusal])
        self.assertEqual((was_connected, received), ([True], []))


class TimeoutTest(unittest.TestCase):
    def test_silence_is_reported_once_and_the_response_awaited(self) -> None:
        silence, ended = virtual_process.run(lambda: _send_request(0.0))
        self.assertEqual(silence, response_events.TargetSilent())
        self.assertEqual(ended.body, b"ok")

    def test_request_without_a_response_ends_at_its_deadline(self) -> None:
        silence, ended = virtual_process.run(
            lambda: _send_request(0.0, response_ms=3_600_000.0)
        )
        self.assertEqual(silence, response_events.TargetSilent())
        self.assertIs(ended.reason, outcomes.Reason.TIME_LIMIT)

    def test_received_response_is_used_after_a_pause(self) -> None:
        (ended,) = virtual_process.run(lambda: _send_request(3_000.0))
        self.assertEqual(ended.body, b"ok")
