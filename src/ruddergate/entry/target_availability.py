"""Applies response hints of targets, and checks admission before each send.

One object per process receives the hints of all responses, before the rest of
the response is processed. It is consulted in the step that sends a request, for
requests of every kind.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import drain_suspects
from ruddergate.decisions import draining
from ruddergate.decisions import peer_groups
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import hints as hint_types
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import repeat_filter

# Jitter added to a backoff: up to this share of it, and at most this time. VMs
# that got the same backoff at once must not all return together.
_BACKOFF_JITTER_SHARE = 0.25
_MAX_BACKOFF_JITTER_MS = 500.0
# Jitter before a target that peers report as draining is probed, so that it is
# not probed by the whole fleet at once.
_CONFIRM_JITTER_MS = 1_500.0
# VMs of a large fleet that pass on hints to a VM that has just started. In a
# small fleet all do, as only one of them may have received a hint.
_REANNOUNCING_VMS = 6
# Longest name of an incarnation that a peer may send: a key of the store has at
# most 200 bytes.
_MAX_INCARNATION_LENGTH = 220
# Retry delay sent to the caller: another target can take the request at once.
_DRAINING_RETRY_MS = 200.0


class TargetAvailability:
    """Keeps requests off targets that drain or back off; one per process.

    Args:
        env: Clock and random numbers.
        drain_state: Which incarnations of targets accept no requests.
        metrics: Metrics of the process.
        on_draining: Called when a target was newly found to be draining, or is
            newly suspected of it.
    """

    def __init__(
        self,
        env: environment.Environment,
        drain_state: draining.DrainState,
        metrics: metric_types.EntryMetrics,
        on_draining: Callable[[], None] = lambda: None,
    ) -> None:
        self._env = env
        self._drain_state = drain_state
        self._metrics = metrics
        self._on_draining = on_draining
        self._logged = repeat_filter.RepeatFilter()
        self._log = logs.make_logger("target")

    def on_hints(self, hints: hint_types.Hints) -> None:
        """Applies the hints in a target's response."""
        if hints.is_draining:
            self._apply_draining(hints)
        if hints.backoff_ms is not None:
            self._apply_backoff(hints, hints.backoff_ms)
        for detail in hints.problems:
            self._report_unreadable(hints, detail)

    def merge_gossip(self, names: Iterable[str], peer: str) -> None:
        """Merges the draining targets that a peer learned of from responses.

        Targets that are not listed are ignored for now; peers repeat them.
        """
        is_new = False
        now_ms = self._env.now_ms()
        for name in itertools.islice(names, draining.MAX_ANNOUNCED):
            if len(name) > _MAX_INCARNATION_LENGTH:
                self._log.warning(
                    "Ignoring draining target: its name is too long.", peer=peer
                )
                continue
            incarnation = incarnations.parse_incarnation(name)
            jitter_ms = self._env.random.uniform(0.0, _CONFIRM_JITTER_MS)
            due_ms = now_ms + drain_suspects.CONFIRM_DELAY_MS + jitter_ms
            if self._drain_state.merge_gossip(
                incarnation, peer, now_ms, due_ms
            ):
                is_new = True
                self._metrics.drains_detected.inc({"from": "peer"})
                self._log.info(
                    "Target {} is draining, according to a peer.",
                    incarnation.target_id,
                    born_ms=incarnation.started_ms,
                    peer=peer,
                )
        if is_new:
            self._on_draining()

    def check_admission(
        self, chosen: Iterable[targets.Target]
    ) -> outcomes.NotServed | None:
        """Returns a refusal if one of these targets accepts no requests now.

        The result is valid at this moment only: a hint may have arrived while
        the request waited for a placement, for memory or for a connection.
        """
        now_ms = self._env.now_ms()
        for number, target in enumerate(chosen):
            if self._drain_state.accepts_requests(target.incarnation, now_ms):
                continue
            is_draining = self._drain_state.may_be_draining(target.incarnation)
            self._metrics.skipped_sends.inc(
                {
                    "reason": "leaving" if is_draining else "quiet",
                    "part": "helper" if number else "writer",
                }
            )
            if is_draining:
                return outcomes.refuse(
                    outcomes.Reason.TARGET_LEAVING,
                    f"target {target.target_id} is draining",
                    _DRAINING_RETRY_MS,
                )
            until_ms = self._drain_state.find_available_ms(
                target.incarnation, now_ms
            )
            return outcomes.refuse(
                outcomes.Reason.TARGET_QUIET,
                f"target {target.target_id} has asked for a backoff",
                until_ms - now_ms,
            )
        return None

    def summarize(self) -> tuple[str, ...]:
        """Returns the draining targets to send to peers now."""
        return self._drain_state.summarize(self._env.now_ms())

    def on_peer_started(self, peers: int) -> None:
        """Schedules gossip for a VM that has just started.

        Args:
            peers: How many peers this VM knows.
        """
        is_large = peers > peer_groups.MAX_FULL_MESH_VMS
        probability = _REANNOUNCING_VMS / peers if is_large else 1.0
        if probability < 1.0 and self._env.random.random() >= probability:
            return
        if self._drain_state.reannounce(self._env.now_ms()):
            self._on_draining()

    def count_backing_off(self) -> int:
        """Returns how many targets have asked this VM to back off now."""
        return self._drain_state.count_backing_off(self._env.now_ms())

    def _apply_draining(self, hints: hint_types.Hints) -> None:
        now_ms = self._env.now_ms()
        is_new = self._drain_state.note_drain_hint(
            hints.incarnation, now_ms, hints.has_start_time
        )
        if not is_new:
            return
        self._metrics.drains_detected.inc({"from": "answer"})
        self._log.info(
            "Target {} reports that it is draining.",
            hints.incarnation.target_id,
            request_id=hints.request_id,
            born_ms=hints.incarnation.started_ms,
        )
        self._on_draining()

    def _apply_backoff(
        self, hints: hint_types.Hints, backoff_ms: float
    ) -> None:
        jitter_ms = min(
            _MAX_BACKOFF_JITTER_MS, _BACKOFF_JITTER_SHARE * backoff_ms
        )
        jitter_ms = self._env.random.uniform(0.0, jitter_ms)
        until_ms = self._env.now_ms() + backoff_ms + jitter_ms
        received_wall_ms = None if hints.has_start_time else self._env.wall_ms()
        if self._drain_state.note_backoff(
            hints.incarnation, until_ms, received_wall_ms
        ):
            self._log.info(
                "Target {} asks for a backoff of {:.0f} ms.",
                hints.incarnation.target_id,
                backoff_ms,
                request_id=hints.request_id,
                born_ms=hints.incarnation.started_ms,
            )

    def _report_unreadable(self, hints: hint_types.Hints, detail: str) -> None:
        self._metrics.malformed_hints.inc({})
        name = incarnations.format_incarnation(hints.incarnation)
        if self._logged.is_new(name, detail):
            self._log.warning(
                "Target {} sent an unreadable hint: {}.",
                hints.incarnation.target_id,
                detail,
                request_id=hints.request_id,
                born_ms=hints.incarnation.started_ms,
            )
