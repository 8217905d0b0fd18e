"""Records of the crashes that count against one fingerprint."""

from collections.abc import Iterable
import dataclasses
import math

from ruddergate.fleet import incarnation as incarnations

# Crashes kept of each fingerprint. More add nothing, except where others
# explain some of them.
MAX_CRASHES = 8
# Ages grow by the transit time of datagrams. Times of the same event at two VMs
# differ by less than this, and what differs by less is not news.
AGE_SLACK_MS = 500.0
# A trial counts as running for this long, unless its result is known earlier.
TRIAL_TIMEOUT_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Crash:
    """When an incarnation crashed, and how much that counts.

    Attributes:
        at_ms: When it crashed.
        weight: How much that counts, above 0 and at most 1.
        sent_ms: When the last request that was lost had been sent to it.
    """

    at_ms: float
    weight: float
    sent_ms: float


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of a fingerprint.

    Attributes:
        crashes: Incarnations that crashed while they ran such a request, since
            one proved harmless.
        completed_ms: When one last proved harmless.
        trial_ms: When one was last sent as a trial.
    """

    crashes: dict[incarnations.Incarnation, Crash] = dataclasses.field(
        default_factory=dict
    )
    completed_ms: float = -math.inf
    trial_ms: float = -math.inf

    def sum_weights(self) -> float:
        """Returns the weight of all its crashes, explained or not."""
        return sum(each.weight for each in self.crashes.values())

    def find_last_ms(self) -> float:
        """Returns the time of the last crash, or else of the completion."""
        crashes_ms = (each.at_ms for each in self.crashes.values())
        return max(crashes_ms, default=self.completed_ms)

    def make_room(self, at_ms: float) -> incarnations.Incarnation | None:
        """Returns the crash that one at a time replaces, if it is to be kept.

        Only for a record that is full. Near-simultaneous crashes don't replace
        each other, or two VMs would exchange them forever.
        """
        oldest = min(self.crashes, key=lambda each: self.crashes[each].at_ms)
        is_later = at_ms > self.crashes[oldest].at_ms + AGE_SLACK_MS
        return oldest if is_later else None

    def is_trial_running(self, now_ms: float) -> bool:
        """Returns whether the result of the last trial is still unknown."""
        known_ms = max(self.find_last_ms(), self.completed_ms)
        until_ms = self.trial_ms + TRIAL_TIMEOUT_MS
        return known_ms < self.trial_ms and now_ms < until_ms


def sum_consecutive(crashes: Iterable[Crash]) -> float:
    """Returns the weight of crashes whose requests were sent one by one.

    Of requests that were under way at the same time, one counts: a single
    cause, such as a loss of power, may have crashed all their targets.
    """
    weight = 0.0
    last_ms = -math.inf
    for each in sorted(crashes, key=lambda crash: crash.at_ms):
        if each.sent_ms >= last_ms:
            weight += each.weight
            last_ms = each.at_ms
    return weight
