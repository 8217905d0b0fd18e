"""The users' platform: everything that it sends is validated when decoded."""

import base64
import itertools
import unittest

import hypothesis
from hypothesis import strategies
import orjson

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.fleet import condition
from ruddergate.fleet import store_position
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.platform import callers
from ruddergate.platform import configuration
from ruddergate.platform import headers
from ruddergate.platform import store
from ruddergate.platform import targets
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs
from standins import virtual_network
from standins import virtual_process

# Statuses that guarantee that a request did not run and never will.
_NOT_RUN_STATUSES = {408, 421, 429, 503}

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=10,
)


def _make_incoming(fields: dict[str, str]) -> message.IncomingRequest:
    return message.IncomingRequest(
        "POST", "/a/b", "", fields, b"", "/a/b", tuple(fields.items())
    )


class CallerProtocolTest(unittest.TestCase):
    def test_not_run_statuses_are_sent_only_when_nothing_ran(self) -> None:
        caller_protocol = callers.make_caller_protocol()
        for reason, ran in itertools.product(outcomes.Reason, outcomes.Ran):
            failure = outcomes.NotServed(reason, ran, "why", 100.0)
            status = caller_protocol.write_failure(failure).status
            if ran is not outcomes.Ran.NOT_RUN:
                self.assertNotIn(status, _NOT_RUN_STATUSES, (reason, ran))

    def test_retry_after_is_in_seconds(self) -> None:
        refusal = outcomes.refuse(outcomes.Reason.NO_TARGET, "why", 250.0)
        response = callers.make_caller_protocol().write_failure(refusal)
        self.assertEqual(response.headers["retry-after"], "0.250")

    def test_request_headers_are_parsed(self) -> None:
        caller_request = callers.make_caller_protocol().read(
            _make_incoming(
                {
                    "host": "a.example",
                    "x-attempt-id": "9c41",
                    "x-deadline-ms": "10000",
                    "x-token-usage": "1460,80",
                    "x-prefix-hash": "5c1e:800,91bd:410",
                    "last-event-id": "12",
                    "x-api-key": "k",
                }
            )
        )
        self.assertEqual(caller_request.request_id, "9c41")
        self.assertEqual(caller_request.time_limit_ms, 10_000.0)
        self.assertEqual(caller_request.prompt_tokens, 1_460)
        self.assertEqual(caller_request.output_tokens_max, 80)
        self.assertEqual(caller_request.shared_parts, ("5c1e",))
        self.assertEqual(caller_request.last_event_id, "12")

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ("x-deadline-ms", "x-token-usage", "x-prefix-hash")
            ),
            strategies.text(max_size=20),
        )
    )
    def test_arbitrary_header_values_raise_nothing(
        self, fields: dict[str, str]
    ) -> None:
        caller_request = callers.make_caller_protocol().read(
            _make_incoming(fields)
        )
        self.assertGreaterEqual(caller_request.prompt_tokens, 0)

    def test_keys_and_forged_headers_do_not_reach_targets(self) -> None:
        fields = (
            ("X-Api-Key", "k"),
            ("X-Tenant-Id", "forged"),
            ("Helpers", "1.2.3.4:5"),
            ("X-Expect-Replica", "forged"),
            ("Priority", "0"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("X-Own", "1"),
            ("X-Own", "2"),
        )
        self.assertEqual(
            headers.select_for_target(fields), (("X-Own", "1"), ("X-Own", "2"))
        )


class ConfigurationTest(unittest.TestCase):
    def test_route_and_key_are_read(self) -> None:
        found = configuration.read_catalog(
            {
                "config-version": 7,
                "routes": [
                    {
                        "name": "r",
                        "hostname": "A.example",
                        "path-prefix": "/a/",
                        "route-type": "streaming",
                        "resumable": True,
                        "timeout-ms": 10_000,
                        "target-latency-ms": 300,
                        "gap_aim_ms": 200,
                        "max-attempts": 2,
                        "traffic-split": [
                            {"service": "s", "weight": 90},
                            {"service": "t", "weight": 10},
                        ],
                    }
                ],
                "services": [{"name": "s", "engine": {"read_per_s": 256_000}}],
                "tenants": [{"name": "w", "api-keys": ["k1", "k2"]}],
            }
        )
        route = found.find_route("a.example:80", "/a/b/c")
        self.assertEqual([each.weight for each in route.shares], [90.0, 10.0])
        self.assertTrue(route.repeatable)
        self.assertEqual(found.workspaces["k2"].name, "w")
        self.assertEqual(found.find_pool("s").prefill_tokens_per_s, 256_000.0)

    def test_streams_are_repeatable_only_if_resumable(self) -> None:
        for resumable in (True, False):
            found = configuration.read_catalog(
                {
                    "config-version": 1,
                    "routes": [
                        {
                            "path-prefix": "/a/",
                            "route-type": "streaming",
                            "resumable": resumable,
                            "service": "s",
                        }
                    ],
                }
            )
            route = found.find_route("", "/a/")
            self.assertIs(route.repeatable, resumable)

    def test_routes_of_unknown_types_are_not_repeatable(self) -> None:
        found = configuration.read_catalog(
            {
                "config-version": 1,
                "routes": [
                    {
                        "path-prefix": "/a/",
                        "route-type": "new",
                        "service": "s",
                    }
                ],
            }
        )
        self.assertFalse(found.find_route("", "/a/").repeatable)

    @hypothesis.given(_JSON)
    def test_arbitrary_document_raises_nothing(self, document: object) -> None:
        found = configuration.read_catalog(document)
        self.assertIsInstance(found, catalogs.Catalog | str)

    @hypothesis.given(
        strategies.fixed_dictionaries(
            {
                "config-version": strategies.just(3),
                "routes": strategies.lists(_JSON, max_size=2),
                "services": strategies.lists(_JSON, max_size=2),
                "tenants": strategies.lists(_JSON, max_size=2),
            }
        )
    )
    def test_arbitrary_elements_raise_nothing(self, document: object) -> None:
        found = configuration.read_catalog(document)
        self.assertIsInstance(found, catalogs.Catalog | str)

    def test_longest_prefix_wins(self) -> None:
        routes = [
            {"name": name, "path-prefix": prefix, "service": "s"}
            for name, prefix in (("a", "/a/"), ("b", "/a/b/"), ("c", "/"))
        ]
        found = configuration.read_catalog(
            {"config-version": 1, "routes": routes}
        )
        cases = {"/a/b/c": "b", "/a/b": "a", "/a": "c", "/x": "c"}
        for path, name in cases.items():
            self.assertEqual(found.find_route("", path).name, name, path)


class CatalogReaderTest(unittest.TestCase):
    """Settings that change often, but only in a few routes."""

    def _make_document(self, revision: int, timeout_ms: int) -> dict:
        routes = [
            {
                "name": f"r{number}",
                "path-prefix": f"/{number}/",
                "service": "s",
                "timeout-ms": timeout_ms if number == 0 else 1_000,
            }
            for number in range(3)
        ]
        return {"config-version": revision, "routes": routes}

    def test_only_changed_routes_are_parsed_again(self) -> None:
        read = configuration.make_reader()
        first = read(self._make_document(1, 100))
        second = read(self._make_document(2, 200))
        uncached = configuration.read_catalog(self._make_document(2, 200))
        for path in ("/0/", "/1/", "/2/"):
            found = second.find_route("", path)
            self.assertEqual(found, uncached.find_route("", path))
            is_same = found is first.find_route("", path)
            self.assertIs(is_same, path != "/0/")

    def test_route_that_was_removed_and_added_again_is_parsed(self) -> None:
        read = configuration.make_reader()
        full_document = self._make_document(1, 100)
        read(full_document)
        read(
            {
                **full_document,
                "config-version": 2,
                "routes": full_document["routes"][1:],
            }
        )
        restored = read({**full_document, "config-version": 3})
        self.assertIsNotNone(restored.find_route("", "/0/"))

    def test_only_the_newest_of_several_revisions_is_parsed(self) -> None:
        items = [
            {
                "key": "op/config",
                "value": base64.b64encode(
                    orjson.dumps(self._make_document(revision, 100))
                ).decode(),
            }
            for revision in (1, 2, 3)
        ]
        read: list[int] = []

        def read_catalog(document: dict) -> catalogs.Catalog | str:
            read.append(document["config-version"])
            return configuration.read_catalog(document)

        found = store._read_items(items, 9, read_catalog)
        self.assertEqual((found.catalog.revision, read), (3, [3]))
        # A malformed one is reported as a problem; the previous one applies.
        items[2]["value"] = "?"
        found = store._read_items(items, 9, read_catalog)
        self.assertEqual((found.catalog.revision, len(found.problems)), (2, 1))


_ENTRY = {
    "service": "s",
    "address": "1.2.3.4:5",
    "zone": "h",
    "slots": 8,
    "state": "ready",
}


class TargetsTest(unittest.TestCase):
    def test_states(self) -> None:
        for state, expected in (
            ("ready", condition.Condition.LIVE),
            ("draining", condition.Condition.DRAINING),
        ):
            found = targets.read_target("i-1", {**_ENTRY, "state": state})
            self.assertIs(found.condition, expected)
        # An unknown state is written by another client: it must not make the
        # target of that name count as draining.
        found = targets.read_target("i-1", {**_ENTRY, "state": "anything"})
        self.assertIsInstance(found, str)

    @hypothesis.given(_JSON)
    def test_arbitrary_document_raises_nothing(self, document: object) -> None:
        found = targets.read_target("i-1", document)
        self.assertIsInstance(found, str)


class StoreTest(unittest.TestCase):
    def _read_changes(self, response: message.Response) -> object:
        """Returns what a read of the store makes of a reply."""

        async def run() -> object:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            address = environment.Address("store", 1)
            store_process = virtual_process.VirtualProcess("store", "h")

            async def handle(
                incoming: message.IncomingRequest,
            ) -> message.Response:
                return response

            env = network.make_environment(store_process, 1)
            handler = make_store_handler(handle)
            await store_process.start(lambda: env.serve(handler, address))
            vm_process = virtual_process.VirtualProcess("vm", "h")
            source = store.make_source(
                network.make_environment(vm_process, 1),
                address,
                client.Timeouts(500.0, 500.0, 500.0),
            )
            return await vm_process.start(lambda: source.read_changes(5))

        return virtual_process.run(run)

    def test_lost_history_is_reported(self) -> None:
        response = message.make_json_response(410, {})
        self.assertIsInstance(
            self._read_changes(response), published.HistoryLost
        )

    def test_epoch_is_read_from_all_replies(self) -> None:
        document = {"events": [], "at": 7}
        for text, epoch in (
            ("3", 3),
            ("12", 12),
            ("", 0),
            ("-1", 0),
            ("1.5", 0),
            ("soon", 0),
            ("0x3", 0),
            ("9" * 30, 0),
        ):
            named = {"Store-Era": text}
            response = message.make_json_response(200, document, named)
            position = store_position.StorePosition(epoch, 7)
            self.assertEqual(self._read_changes(response).position, position)
            response = message.make_json_response(410, {}, named)
            self.assertEqual(
                self._read_changes(response), published.HistoryLost(epoch)
            )

    def test_invalid_replies_count_as_unavailable(self) -> None:
        for response in (
            message.make_json_response(200, []),
            message.make_json_response(200, {"events": [], "at": "5"}),
            message.make_json_response(503, {}),
            message.Response(200, {}, b"{"),
        ):
            self.assertIsInstance(
                self._read_changes(response), published.Unavailable
            )

    def test_last_change_of_a_key_applies(self) -> None:
        text = base64.b64encode(orjson.dumps(_ENTRY)).decode()
        events = [
            {"key": "servers/a", "value": text, "revision": 6},
            {"key": "servers/a", "revision": 7, "gone": True},
            {"key": "servers/b", "revision": 8, "gone": True},
            {"key": "servers/b", "value": text, "revision": 9},
            {"key": "servers/c", "value": "%", "revision": 10},
            {"key": "other", "value": text, "revision": 11},
        ]
        found = self._read_changes(
            message.make_json_response(200, {"events": events, "at": 11})
        )
        self.assertEqual(found.removed, ("a",))
        named = [each.target_id for each in found.targets]
        self.assertEqual(named, ["a", "b"])
        self.assertEqual([each.target_id for each in found.malformed], ["c"])
        # A malformed entry of a target does not affect the settings.
        self.assertEqual(found.problems, ())


def make_store_handler(handle):  # noqa: ANN201
    """Returns a stream handler for an HTTP handler."""
    return server.make_stream_handler(handle, server.Limits())
