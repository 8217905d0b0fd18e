"""What targets say of themselves in their answers, and what follows from it.

One object of a process hears all answers, before anybody sees what else stands
in them, and is asked in the step that sends, whatever the way to a target is.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import doubts
from ruddergate.decisions import peer_groups
from ruddergate.decisions import withdrawals
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import hints as hint_types
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import told_once

# A time for which a target wants no calls is drawn out by up to this part of
# it, and by no more than this: VMs that were told the same at once must not all
# come back together.
_SPREAD_PART = 0.25
_SPREAD_MOST_MS = 500.0
# A target that peers say to leave is asked this much later at most than others,
# so that it is not asked by a whole fleet at once.
_CONFIRM_SPREAD_MS = 1_500.0
# VMs of a large fleet that tell one that has just started what targets said. In
# a small one all do: it may be that one alone has heard it.
_GREETING_VMS = 6
# Longest word that a peer may use for a life: a key of the store has 200 bytes.
_WORD_MOST = 220
# What a target that leaves was to do another one can do at once.
_LEAVING_RETRY_MS = 200.0


class TargetNotices:
    """Hears targets, and keeps calls off those that want none; one a process.

    Args:
        outside: Clock and chance.
        withdrawn: Which lives of targets take no calls.
        metrics: Metrics of the process.
        note_leaving: Is called when a target was newly found to leave, or may
            be leaving.
    """

    def __init__(
        self,
        outside: environment.Environment,
        withdrawn: withdrawals.Withdrawals,
        metrics: metric_types.EntryMetrics,
        note_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self._outside = outside
        self._withdrawn = withdrawn
        self._metrics = metrics
        self._note_leaving = note_leaving
        self._told = told_once.ToldOnce()
        self._log = logs.make_logger("target")

    def hear(self, said: hint_types.Hints) -> None:
        """Takes in what a target said of itself in an answer."""
        if said.is_draining:
            self._hear_leaving(said)
        if said.backoff_ms is not None:
            self._hear_quiet(said, said.backoff_ms)
        for detail in said.problems:
            self._hear_unread(said, detail)

    def take_told(self, words: Iterable[str], peer: str) -> None:
        """Takes in the leavings of which a peer has heard in answers.

        Targets that are not listed are no matter yet; a peer says it again.
        """
        is_news = False
        now_ms = self._outside.now_ms()
        for word in itertools.islice(words, withdrawals.TOLD_MOST):
            if len(word) > _WORD_MOST:
                self._log.warning("Leaving dropped, no life.", peer=peer)
                continue
            incarnation = incarnations.parse_incarnation(word)
            spread_ms = self._outside.random.uniform(0.0, _CONFIRM_SPREAD_MS)
            due_ms = now_ms + doubts.CONFIRM_MS + spread_ms
            if self._withdrawn.note_told(incarnation, peer, now_ms, due_ms):
                is_news = True
                self._metrics.leavings_heard.inc({"from": "peer"})
                self._log.info(
                    "Target {} leaves, as a peer has heard.",
                    incarnation.target_id,
                    born_ms=incarnation.started_ms,
                    peer=peer,
                )
        if is_news:
            self._note_leaving()

    def refuse_send(
        self, asked: Iterable[targets.Target]
    ) -> outcomes.NotServed | None:
        """Returns a refusal if one of these takes no calls now.

        It holds for this moment: an answer may have told so while the call
        waited for a place, for memory or for a connection.
        """
        now_ms = self._outside.now_ms()
        for number, target in enumerate(asked):
            if self._withdrawn.takes_calls(target.incarnation, now_ms):
                continue
            is_leaving = self._withdrawn.has_left(target.incarnation)
            self._metrics.sends_withheld.inc(
                {
                    "reason": "leaving" if is_leaving else "quiet",
                    "part": "helper" if number else "writer",
                }
            )
            if is_leaving:
                return outcomes.refuse(
                    outcomes.Reason.TARGET_LEAVING,
                    f"target {target.target_id} leaves",
                    _LEAVING_RETRY_MS,
                )
            until_ms = self._withdrawn.find_until_ms(target.incarnation, now_ms)
            return outcomes.refuse(
                outcomes.Reason.TARGET_QUIET,
                f"target {target.target_id} wants no calls now",
                until_ms - now_ms,
            )
        return None

    def summarize(self) -> tuple[str, ...]:
        """Returns the leavings that peers are to be told now."""
        return self._withdrawn.summarize(self._outside.now_ms())

    def greet(self, peers: int) -> None:
        """Has a VM that has just started told what targets have said.

        Args:
            peers: How many peers this VM knows.
        """
        is_large = peers > peer_groups.DIRECT_MOST
        chance = _GREETING_VMS / peers if is_large else 1.0
        if chance < 1.0 and self._outside.random.random() >= chance:
            return
        if self._withdrawn.tell_again(self._outside.now_ms()):
            self._note_leaving()

    def count_quiet(self) -> int:
        """Returns how many targets want no calls of this VM now."""
        return self._withdrawn.count_quiet(self._outside.now_ms())

    def _hear_leaving(self, said: hint_types.Hints) -> None:
        now_ms = self._outside.now_ms()
        is_new = self._withdrawn.note_answered(
            said.incarnation, now_ms, said.has_start_time
        )
        if not is_new:
            return
        self._metrics.leavings_heard.inc({"from": "answer"})
        self._log.info(
            "Target {} says that it leaves.",
            said.incarnation.target_id,
            request_id=said.request_id,
            born_ms=said.incarnation.started_ms,
        )
        self._note_leaving()

    def _hear_quiet(self, said: hint_types.Hints, quiet_ms: float) -> None:
        spread_ms = min(_SPREAD_MOST_MS, _SPREAD_PART * quiet_ms)
        spread_ms = self._outside.random.uniform(0.0, spread_ms)
        until_ms = self._outside.now_ms() + quiet_ms + spread_ms
        said_wall_ms = None if said.has_start_time else self._outside.wall_ms()
        if self._withdrawn.note_quiet(said.incarnation, until_ms, said_wall_ms):
            self._log.info(
                "Target {} wants no calls for {:.0f} ms.",
                said.incarnation.target_id,
                quiet_ms,
                request_id=said.request_id,
                born_ms=said.incarnation.started_ms,
            )

    def _hear_unread(self, said: hint_types.Hints, detail: str) -> None:
        self._metrics.statements_unread.inc({})
        name = incarnations.format_incarnation(said.incarnation)
        if self._told.is_new(name, detail):
            self._log.warning(
                "Target {} says what has no meaning: {}.",
                said.incarnation.target_id,
                detail,
                request_id=said.request_id,
                born_ms=said.incarnation.started_ms,
            )
