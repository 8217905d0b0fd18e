"""Whether this VM's own links to targets work, from how connections ended.

A target that this VM can't reach while a peer can is alive: the link is broken.
Several such targets in a row, with none reached in between, mean that this VM
has lost its links; it then connects through peers first, until the direct way
was found to work again.
"""

import enum

# A single target may be reachable only by others, as after a lost packet.
MIN_BYPASSED = 2
# Direct connections that must succeed in a row before the direct way is used
# first again. Links that flap would otherwise delay a request each time.
MIN_SUCCESSES = 2
# A broken link to a target is forgotten this long after it was last found
# broken; the next connection then tries the direct way first.
BROKEN_TTL_MS = 30_000.0
# This VM reaches nothing if neither way led to this many targets, and none was
# reached for this time. A live target may be silent for a second.
MIN_UNREACHED = 3
ISOLATED_AFTER_MS = 1_200.0


class State(enum.StrEnum):
    """How this VM reaches targets.

    Attributes:
        DIRECT: By its own links.
        DETOUR: Through peers, as its own links are lost.
        ISOLATED: By no way.
    """

    DIRECT = "direct"
    DETOUR = "detour"
    ISOLATED = "isolated"


class Links:
    """State of a VM's links to targets; owned by one task.

    Targets are identified by their addresses.

    Attributes:
        state: How this VM reaches targets.
    """

    def __init__(self) -> None:
        self.state = State.DIRECT
        # When targets were last reached through a peer but not directly.
        self._broken: dict[str, float] = {}
        # Targets bypassed since a target was last reached directly.
        self._bypassed: set[str] = set()
        # Targets that neither way has led to since one last did.
        self._unreached: set[str] = set()
        # When either way last led to a target.
        self._any_reached_ms = float("-inf")
        self._successes = 0

    def note_reached(self, address: str, now_ms: float) -> None:
        """Notes that a target was reached directly."""
        if address in self._broken:
            # Links to other targets have probably come back with this one.
            self._broken.clear()
        self._bypassed.clear()
        # Without any way, peers have nothing better to offer.
        was_isolated = self.state is State.ISOLATED
        self.note_detour_reached(now_ms)
        self._successes += 1
        if was_isolated or self._successes >= MIN_SUCCESSES:
            self.state = State.DIRECT

    def note_failed(self) -> None:
        """Notes that a direct connection to some target failed."""
        self._successes = 0

    def note_bypassed(self, address: str, now_ms: float) -> None:
        """Notes that a peer reached a target that this VM could not reach."""
        self._broken[address] = now_ms
        self._bypassed.add(address)
        if len(self._bypassed) >= MIN_BYPASSED:
            self.state = State.DETOUR

    def note_unreached(self, address: str, now_ms: float) -> None:
        """Notes that neither way led to a target."""
        self._unreached.add(address)
        silent_ms = now_ms - self._any_reached_ms
        has_nothing = len(self._unreached) >= MIN_UNREACHED
        if has_nothing and silent_ms > ISOLATED_AFTER_MS:
            self.state = State.ISOLATED

    def note_detour_reached(self, now_ms: float) -> None:
        """Notes that some way, perhaps a peer, led to a target."""
        self._unreached.clear()
        self._any_reached_ms = now_ms
        if self.state is State.ISOLATED:
            self.state = State.DETOUR

    def prefers_detour(self, address: str, now_ms: float) -> bool:
        """Returns whether to connect through a peer first."""
        if self.state is not State.DIRECT:
            return True
        broken_ms = self._broken.get(address)
        if broken_ms is None:
            return False
        if now_ms - broken_ms > BROKEN_TTL_MS:
            del self._broken[address]
            return False
        return True

    def list_broken(self) -> list[str]:
        """Returns the targets that only peers have reached lately."""
        return list(self._broken)

    def forget(self, address: str) -> None:
        """Drops a target that is not listed any more."""
        self._broken.pop(address, None)

    def is_broken(self, address: str) -> bool:
        """Returns whether only peers have reached a target lately."""
        return address in self._broken

    def count_broken(self) -> int:
        """Returns how many targets only peers have reached lately."""
        return len(self._broken)
