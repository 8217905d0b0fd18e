"""Answers of targets with neither a length nor chunks."""

import asyncio
import unittest

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.platform import upstream
from ruddergate.relay import hints as hint_types
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.settings import route as routes
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("target", 1)
_TARGET = targets.Target("t-1", "p", "h", _ADDRESS, condition.Condition.LIVE)
_HEAD = b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n\r\n"
_EVENT = b"id: 1\ndata: one\n\n"


def _make_route(is_stream: bool) -> routes.Route:
    return routes.Route(
        name="r",
        host="a.example",
        path_prefix="/a/",
        shares=(routes.Share("p", 1.0),),
        rank=0,
        time_limit_ms=10_000.0,
        latency_slo_ms=300.0,
        is_stream=is_stream,
        gap_slo_ms=200.0,
        repeatable=True,
        is_open=False,
        targets_max=2,
        is_resumable=True,
    )


def _make_request(
    is_stream: bool, now_ms: float
) -> upstream_requests.UpstreamRequest:
    payload = payloads.Payload(
        _make_route(is_stream),
        "POST",
        "a.example",
        "/a/b",
        (("x-attempt-id", "r1"),),
        b"",
        "",
    )
    timeouts = upstream_requests.Timeouts(250.0, 900.0, 900.0)
    return upstream_requests.UpstreamRequest(
        payload, _TARGET, "w", now_ms + 10_000.0, 3, "", (), timeouts
    )


def _receive(
    data: bytes, is_stream: bool, is_reset: bool = False
) -> list[response_events.Event]:
    """Returns what is read of an answer that ends with its connection."""
    network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
    target = virtual_process.VirtualProcess("target", "h")

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.02)
        if is_reset:
            network.reset_node(target)
        else:
            writer.close()

    async def run() -> list[response_events.Event]:
        target_env = network.make_environment(target, 1)
        await target.start(lambda: target_env.serve(answer, _ADDRESS))
        vm = virtual_process.VirtualProcess("vm", "h")
        env = network.make_environment(vm, 1)
        send = upstream.make_send(env, hint_types.ignore_hints)

        async def collect() -> list[response_events.Event]:
            request = _make_request(is_stream, env.now_ms())
            return [event async for event in send(request)]

        return await vm.start(collect)

    return virtual_process.run(run)


class UnframedStreamTest(unittest.TestCase):
    """A stream that ends with its connection.

    A target that crashed after the head of its answer, and before any event,
    was taken for one that had answered: the caller got an empty success, and
    the crash did not count against the request.
    """

    def test_stream_without_any_event_is_lost(self) -> None:
        events = _receive(_HEAD, True)
        self.assertIsInstance(events[-1], outcomes.NotServed)
        self.assertIs(events[-1].reason, outcomes.Reason.TARGET_LOST)
        # The caller has no head, so that another target may answer.
        self.assertEqual(len(events), 1)

    def test_stream_that_ends_inside_an_event_is_lost(self) -> None:
        for data in (_EVENT[:-5], _EVENT + _EVENT[:7]):
            events = _receive(_HEAD + data, True)
            self.assertIsInstance(events[-1], outcomes.NotServed)
            self.assertIs(events[-1].reason, outcomes.Reason.TARGET_LOST)

    def test_stream_that_ends_between_events_is_complete(self) -> None:
        events = _receive(_HEAD + _EVENT, True)
        self.assertIsInstance(events[-1], response_events.StreamEnd)
        data = [
            each.data
            for each in events
            if isinstance(each, response_events.StreamEvents)
        ]
        self.assertEqual(b"".join(data), _EVENT)


class UnframedBodyTest(unittest.TestCase):
    """A whole body that ends with its connection."""

    def test_body_is_complete_at_the_end_of_its_connection(self) -> None:
        events = _receive(_HEAD + b"body", False)
        self.assertIsInstance(events[-1], response_events.CompleteResponse)
        self.assertEqual(events[-1].body, b"body")

    def test_body_that_is_reset_is_lost(self) -> None:
        events = _receive(_HEAD + b"body", False, is_reset=True)
        self.assertIsInstance(events[-1], outcomes.NotServed)
        self.assertIs(events[-1].reason, outcomes.Reason.TARGET_LOST)
