"""Metrics of one process, served on `/metrics`."""

import aioprometheus

from ruddergate.http import message

_TIME_BUCKETS_S = (
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
    """Returns the name of a prompt's length bucket, its upper bound."""
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
            "Time to first token, by prompt length.",
            registry=self.registry,
            buckets=_TIME_BUCKETS_S,
        )
        self.outcomes = self._counter(
            "ruddergate_outcomes_total",
            "Requests that ended, by reason and by whether they ran.",
        )
        self.failed_attempts = self._counter(
            "ruddergate_attempts_total",
            "Failed attempts at targets, by result.",
        )
        self.ended_targets = self._counter(
            "ruddergate_targets_ended_total",
            "Targets that ended while they served requests of this VM.",
        )
        self.refuted_ends = self._counter(
            "ruddergate_refuted_ends_total",
            "Targets that responded after they were reported as ended, by who"
            " found that.",
        )
        self.uncounted_crashes = self._counter(
            "ruddergate_uncounted_crashes_total",
            "Crashed targets that did not count against a route's limit.",
        )
        self.silent_attempts = self._counter(
            "ruddergate_silent_attempts_total",
            "Attempts whose target fell silent, by what became of them.",
        )
        self.unresponsive_targets = self._counter(
            "ruddergate_unresponsive_targets_total",
            "Attempts whose target missed health probes while helpers held"
            " memory for it.",
        )
        self.oversized_responses = self._counter(
            "ruddergate_oversized_responses_total",
            "Responses given up as they took too much memory or had no end.",
        )
        self.tokens = self._counter(
            "ruddergate_tokens_total", "Tokens delivered."
        )
        self.waiting_cost_ms = self._gauge(
            "ruddergate_waiting_cost_ms",
            "Estimated cost of the queued requests, by class.",
        )
        self.view_age_ms = self._gauge(
            "ruddergate_view_age_ms", "Age of this VM's view of the fleet."
        )
        self.settings_age_ms = self._gauge(
            "ruddergate_settings_age_ms",
            "Time since the settings were last known to be current.",
        )
        self.store_calls = self._counter(
            "ruddergate_store_calls_total",
            "Calls to the platform's store, by what they read.",
        )
        self.failed_store_calls = self._counter(
            "ruddergate_store_calls_failed_total",
            "Calls to the platform's store without a usable response.",
        )
        self.hedged_store_calls = self._gauge(
            "ruddergate_store_calls_hedged",
            "Calls to the platform's store beside one that was not answered, in"
            " total.",
        )
        self.store_revision = self._gauge(
            "ruddergate_store_revision",
            "Revision of the platform's store that this VM has reached.",
        )
        self.peer_reads = self._counter(
            "ruddergate_peer_reads_total",
            "Requests to peers for what the store published, by result.",
        )
        self.store_backlogs = self._counter(
            "ruddergate_store_backlogs_total",
            "Reads of the store that took several responses, by result.",
        )
        self.store_epoch = self._gauge(
            "ruddergate_store_epoch",
            "Epoch of the platform's store, 0 if it reports none.",
        )
        self.open_requests = self._gauge(
            "ruddergate_open_requests",
            "Relayed requests that are not answered yet, by what they do.",
        )
        self.retries_left = self._gauge(
            "ruddergate_retries_left",
            "Retries that the retry budget allows now.",
        )
        self.quarantined = self._gauge(
            "ruddergate_quarantined_contents",
            "Fingerprints of quarantined requests, which crash targets.",
        )
        self.loop_lag_ms = self._gauge(
            "ruddergate_loop_lag_ms",
            "Smoothed lag of the event loop, in milliseconds.",
        )
        self.connection_bytes = self._gauge(
            "ruddergate_connection_bytes",
            "Memory that callers' connections hold beside complete bodies.",
        )
        self.ended_connections = self._gauge(
            "ruddergate_connections_ended",
            "Connections ended for a limit of their server, in total, by"
            " cause.",
        )
        self.shed_connections = self._gauge(
            "ruddergate_connections_shed",
            "New connections closed unread in overload, in total.",
        )
        self.request_body_bytes = self._gauge(
            "ruddergate_request_body_bytes",
            "Bytes of request bodies that are read or held.",
        )
        self.refused_bodies = self._gauge(
            "ruddergate_request_bodies_refused",
            "Requests refused for the memory of their bodies, in total.",
        )
        self.poison_trials = self._gauge(
            "ruddergate_poison_trials",
            "Requests with suspect parts sent as trials, in total.",
        )
        self.rejected_settings = self._counter(
            "ruddergate_settings_rejected_total",
            "Published settings that could not be read.",
        )
        self.rejected_entries = self._gauge(
            "ruddergate_entries_refused",
            "Entries of the target list that do not describe a target, total.",
        )
        self.drains_detected = self._counter(
            "ruddergate_leavings_heard_total",
            "Targets found to be draining before the list said so, by source.",
        )
        self.drains_refuted = self._counter(
            "ruddergate_leavings_denied_total",
            "Targets that were reported as draining, but a probe refuted it.",
        )
        self.skipped_sends = self._counter(
            "ruddergate_sends_withheld_total",
            "Requests not sent because a target accepted none, by reason and "
            "by whether the target was to answer or to help prefill.",
        )
        self.backing_off_targets = self._gauge(
            "ruddergate_quiet_targets",
            "Targets that asked this VM to back off.",
        )
        self.rate_limits = self._gauge(
            "ruddergate_target_rate_limit",
            "Requests per second that a target accepts from all VMs.",
        )
        self.rate_limit_shares = self._gauge(
            "ruddergate_target_rate_limit_share",
            "This VM's share of a target's rate limit, by target.",
        )
        self.rate_limit_changes = self._counter(
            "ruddergate_target_rate_limit_changes_total",
            "Rate limits of targets that were set, changed or removed.",
        )
        self.rate_token_requests = self._counter(
            "ruddergate_rate_token_requests_total",
            "Requests to peers for tokens of targets' rate limits, by result.",
        )
        self.rate_token_transfers = self._counter(
            "ruddergate_rate_token_transfers_total",
            "Tokens of targets' rate limits that VMs transferred, by role.",
        )
        self.malformed_hints = self._counter(
            "ruddergate_statements_unread_total",
            "Response hints of targets that are malformed.",
        )
        self.reservations = self._gauge(
            "ruddergate_reservations", "Reservations held at engines."
        )
        self.detours = self._counter(
            "ruddergate_detours_total",
            "Connections to targets tried through a peer, by result.",
        )
        self.carried_requests = self._counter(
            "ruddergate_carried_total",
            "Connections to targets that peers asked for, by result.",
        )
        self.carried_connections = self._gauge(
            "ruddergate_carried_connections",
            "Connections to targets carried for peers.",
        )
        self.broken_links = self._gauge(
            "ruddergate_broken_links",
            "Targets that only peers have reached lately.",
        )
        self.links_state = self._gauge(
            "ruddergate_links_state",
            "How this VM reaches targets: 1 for the state that it is in.",
        )
        self.log_lines_dropped = self._gauge(
            "ruddergate_log_lines_left_out", "Log lines dropped, in total."
        )
        self.pause_s = aioprometheus.Histogram(
            "ruddergate_longest_pause_seconds",
            "Longest pause of each stream, by prompt length.",
            registry=self.registry,
            buckets=_TIME_BUCKETS_S,
        )
        self.wait_s = aioprometheus.Histogram(
            "ruddergate_place_wait_seconds",
            "Time until a request was placed on a target, by prompt length.",
            registry=self.registry,
            buckets=_TIME_BUCKETS_S,
        )
        self.revision = self._gauge(
            "ruddergate_settings_revision", "Revision of the settings in use."
        )

    def record_outcome(self, reason: str, ran: str) -> None:
        """Records the outcome of a request."""
        self.outcomes.inc({"reason": reason, "ran": ran})

    def record_first_token(self, prompt_tokens: int, took_ms: float) -> None:
        """Records a time to first token."""
        labels = {"length": length_bucket(prompt_tokens)}
        self.first_token_s.observe(labels, took_ms / 1000.0)

    def record_pause(self, prompt_tokens: int, pause_ms: float) -> None:
        """Records the longest pause of a stream."""
        labels = {"length": length_bucket(prompt_tokens)}
        self.pause_s.observe(labels, pause_ms / 1000.0)

    def record_wait(self, prompt_tokens: int, waited_ms: float) -> None:
        """Records the time until a request was placed on a target."""
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
            "Orders sent to engines, by result.",
            registry=self.registry,
        )
        self.swept_items = aioprometheus.Counter(
            "ruddergate_swept_total",
            "Expired items freed at engines.",
            registry=self.registry,
        )


def render(registry: aioprometheus.Registry) -> message.Response:
    """Returns a registry's metrics in the Prometheus text format."""
    body, headers = aioprometheus.render(registry, [])
    lowered = {name.lower(): value for name, value in headers.items()}
    return message.Response(200, lowered, body)
