"""Metrics of one process, served on `/metrics`."""

import aioprometheus

from ruddergate.http import message

_TTFT_BUCKETS_S = (
    0.05,
    0.1,
    0.25,
    0.5,
    1.1,
    2.5,
    5.0,
    15.0,
    60.0,
    300.0,
    float("inf"),
)
_LENGTH_BUCKETS = (
    (1_024, "1k"),
    (4_096, "4k"),
    (16_384, "16k"),
    (65_536, "64k"),
    (262_144, "256k"),
)
_LONGEST_BUCKET = "1M"


def length_bucket(prompt_tokens: int) -> str:
    """Returns the length bucket that a prompt counts in."""
    for bound, name in _LENGTH_BUCKETS:
        if prompt_tokens <= bound:
            return name
    return _LONGEST_BUCKET


class EntryMetrics:
    """Metrics of an entry; owned by its process."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.first_token_s = aioprometheus.Histogram(
            "ruddergate_first_token_seconds",
            "Time to first token by length of prompt.",
            registry=self.registry,
            buckets=_TTFT_BUCKETS_S,
        )
        self.outcomes = self._counter(
            "ruddergate_outcomes_total", "Requests ended, by reason and ran."
        )
        self.attempts = self._counter(
            "ruddergate_attempts_total", "Attempts on targets, by result."
        )
        self.ended_targets = self._counter(
            "ruddergate_targets_ended_total",
            "Targets found to have ended while they had calls of this VM.",
        )
        self.tokens = self._counter(
            "ruddergate_tokens_total", "Tokens delivered."
        )
        self.waiting_cost_ms = self._gauge(
            "ruddergate_waiting_cost_ms", "Cost waiting, by class."
        )
        self.view_age_ms = self._gauge(
            "ruddergate_view_age_ms", "Age of the view of the fleet."
        )
        self.settings_age_ms = self._gauge(
            "ruddergate_settings_age_ms",
            "Time since the settings were certainly the newest.",
        )
        self.store_epoch = self._gauge(
            "ruddergate_store_epoch",
            "Epoch of the platform's store, 0 if it names none.",
        )
        self.retries_left = self._gauge(
            "ruddergate_retries_left", "Second sends that may be made now."
        )
        self.quarantined = self._gauge(
            "ruddergate_quarantined_contents",
            "Contents that are sent to no target, since they end targets.",
        )
        self.rejected_entries = self._gauge(
            "ruddergate_entries_refused",
            "Entries in the list of targets that are none of a target, in all.",
        )
        self.drains_detected = self._counter(
            "ruddergate_leavings_heard_total",
            "Targets found to leave by other ways than the list, by way.",
        )
        self.drains_refuted = self._counter(
            "ruddergate_leavings_denied_total",
            "Targets that were said to leave, were asked, and do not.",
        )
        self.skipped_sends = self._counter(
            "ruddergate_sends_withheld_total",
            "Calls that were not sent as a target took none, by reason and by "
            "whether it was to answer or to help.",
        )
        self.backing_off_targets = self._gauge(
            "ruddergate_quiet_targets",
            "Targets that want no calls of this VM for a while.",
        )
        self.rate_limits = self._gauge(
            "ruddergate_target_rate_limit",
            "Requests a second that a target takes from all VMs, by target.",
        )
        self.rate_limit_shares = self._gauge(
            "ruddergate_target_rate_limit_share",
            "This VM's part of a target's rate limit, by target.",
        )
        self.rate_limit_changes = self._counter(
            "ruddergate_target_rate_limit_changes_total",
            "Rate limits of targets that came, changed or ended.",
        )
        self.malformed_hints = self._counter(
            "ruddergate_statements_unread_total",
            "What targets said of themselves that has no meaning.",
        )
        self.reservations = self._gauge(
            "ruddergate_reservations", "Reservations held on engines."
        )
        self.log_lines_dropped = self._gauge(
            "ruddergate_log_lines_left_out", "Log lines not written, in all."
        )
        self.pause_s = aioprometheus.Histogram(
            "ruddergate_longest_pause_seconds",
            "Longest pause of each stream by length of prompt.",
            registry=self.registry,
            buckets=_TTFT_BUCKETS_S,
        )
        self.wait_s = aioprometheus.Histogram(
            "ruddergate_place_wait_seconds",
            "Time until a call was given a place, by length of prompt.",
            registry=self.registry,
            buckets=_TTFT_BUCKETS_S,
        )
        self.revision = self._gauge(
            "ruddergate_settings_revision", "Revision of settings in force."
        )

    def record_outcome(self, reason: str, ran: str) -> None:
        """Counts a request that ended."""
        self.outcomes.inc({"reason": reason, "ran": ran})

    def record_first_token(self, prompt_tokens: int, took_ms: float) -> None:
        """Counts a time to first token."""
        labels = {"length": length_bucket(prompt_tokens)}
        self.first_token_s.observe(labels, took_ms / 1000.0)

    def record_pause(self, prompt_tokens: int, pause_ms: float) -> None:
        """Counts the longest pause of a stream."""
        labels = {"length": length_bucket(prompt_tokens)}
        self.pause_s.observe(labels, pause_ms / 1000.0)

    def record_wait(self, prompt_tokens: int, waited_ms: float) -> None:
        """Counts the time until a call was given a place."""
        labels = {"length": length_bucket(prompt_tokens)}
        self.wait_s.observe(labels, waited_ms / 1000.0)

    def _counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, help_text, registry=self.registry)


class AgentMetrics:
    """Metrics of an agent; owned by its process."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.platform_calls = aioprometheus.Counter(
            "ruddergate_platform_calls_total",
            "Calls to the platform, by service.",
            registry=self.registry,
        )
        self.peer_bytes = aioprometheus.Counter(
            "ruddergate_peer_bytes_total",
            "Bytes of frames exchanged with peers.",
            registry=self.registry,
        )
        self.orders = aioprometheus.Counter(
            "ruddergate_orders_total",
            "Orders given to engines, by result.",
            registry=self.registry,
        )
        self.swept_items = aioprometheus.Counter(
            "ruddergate_swept_total",
            "Lapsed items freed on engines.",
            registry=self.registry,
        )


def render(registry: aioprometheus.Registry) -> message.Response:
    """Returns the registry in Prometheus's text format."""
    body, headers = aioprometheus.render(registry, [])
    lowered = {name.lower(): value for name, value in headers.items()}
    return message.Response(200, lowered, body)
