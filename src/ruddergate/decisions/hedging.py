"""When a second request is sent beside one that is not answered."""

# A service that answers within milliseconds has lost a request that it has not
# answered after this time.
MIN_DELAY_MS = 250.0
# A slow service is given this multiple of the time that it took before.
SLOWNESS_FACTOR = 3.0
# Weight of the last response in the smoothed time of responses.
_SMOOTHING = 0.3


class HedgeDelay:
    """Adapts the delay of second requests to how fast a service answers."""

    def __init__(self) -> None:
        self._smoothed_ms = 0.0
        self._last_ms = 0.0

    def find_delay_ms(self) -> float:
        """Returns after what time without an answer to send a second one."""
        usual_ms = max(self._smoothed_ms, self._last_ms)
        return max(MIN_DELAY_MS, usual_ms * SLOWNESS_FACTOR)

    def note_response(self, took_ms: float) -> None:
        """Records how long a request was unanswered."""
        self._last_ms = took_ms
        self._smoothed_ms += _SMOOTHING * (took_ms - self._smoothed_ms)
