"""Settings and load reports with arbitrary content.

Another client may write anything to the settings key of the store, and a target
may report anything about its load. Neither may end a task of a VM or replace
the settings that apply.
"""

import unittest

import hypothesis
from hypothesis import strategies

from ruddergate.platform import configuration
from ruddergate.platform import targets
from ruddergate.settings import catalog as catalogs
from ruddergate.settings import route as routes
from standins import fuzz_inputs
from standins import gateway_cluster

_KEYS = {"w1": ["k1"], "w2": ["k2"]}


def _list_paths(document: object, path: tuple = ()) -> list[tuple]:
    """Returns the paths of all values within a document."""
    found = [path] if path else []
    if isinstance(document, dict):
        for name, value in document.items():
            found += _list_paths(value, (*path, name))
    if isinstance(document, list):
        for index, value in enumerate(document):
            found += _list_paths(value, (*path, index))
    return found


def _replace(document: object, path: tuple, value: object) -> object:
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = _replace(document[path[0]], path[1:], value)
    return copy


_VALID = gateway_cluster.make_configuration(_KEYS, 7)
_PATHS = _list_paths(_VALID)


class SettingsTest(unittest.TestCase):
    @hypothesis.given(strategies.sampled_from(_PATHS), fuzz_inputs.JSON)
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    def test_malformed_value_is_refused_or_usable(
        self, path: tuple, value: object
    ) -> None:
        found = configuration.read_catalog(_replace(_VALID, path, value))
        if isinstance(found, str):
            return
        self.assertIsInstance(found, catalogs.Catalog)
        for name in ("short", "unsafe", "open"):
            route = found.find_route(gateway_cluster.HOST, f"/{name}/x")
            if route is not None:
                self._check_route(route)

    def _check_route(self, route: routes.Route) -> None:
        self.assertGreater(route.time_limit_ms, 0.0)
        self.assertGreaterEqual(route.latency_slo_ms, 0.0)
        self.assertGreaterEqual(route.gap_slo_ms, 0.0)
        self.assertGreaterEqual(route.targets_max, 1)
        self.assertGreater(len(route.shares), 0)

    @hypothesis.given(fuzz_inputs.JSON)
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_document_is_refused_or_read(self, document: object) -> None:
        found = configuration.read_catalog(document)
        self.assertIsInstance(found, str | catalogs.Catalog)


class LoadReportTest(unittest.TestCase):
    @hypothesis.given(fuzz_inputs.JSON)
    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    def test_start_time_is_an_integer_or_unknown(self, document) -> None:
        started_ms = targets.read_started_ms(document)
        self.assertIs(type(started_ms), int)
        self.assertGreaterEqual(started_ms, 0)
