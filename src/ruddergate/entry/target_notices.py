"""What targets say of themselves in their answers, as this VM hears it."""

from ruddergate.fleet import life as lives
from ruddergate.relay import statement as statements
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import told_once


class TargetNotices:
    """Hears targets; one a process.

    Args:
        metrics: Metrics of the process.
    """

    def __init__(self, metrics: metric_types.EntryMetrics) -> None:
        self._metrics = metrics
        self._told = told_once.ToldOnce()
        self._log = logs.make_logger("target")

    def hear(self, said: statements.Statement) -> None:
        """Takes in what a target said of itself."""
        name = said.life.target_id
        if said.is_leaving:
            self._tell(said, "leaving", f"Target {name} says that it leaves.")
        if said.quiet_ms is not None:
            sentence = f"Target {name} wants no calls for a while."
            self._tell(said, "quiet", sentence)
        for detail in said.unread:
            self._metrics.statements_unread.inc({})
            sentence = f"Target {name} says what has no meaning: {detail}."
            self._tell(said, "unread", sentence)

    def _tell(
        self, said: statements.Statement, kind: str, sentence: str
    ) -> None:
        """Logs a sentence unless it was the last of its kind on that life."""
        matter = f"{kind} {lives.format_life(said.life)}"
        if self._told.is_new(matter, sentence):
            self._log.info(
                "{}",
                sentence,
                request_id=said.request_id,
                born_ms=said.life.born_ms,
                quiet_ms=said.quiet_ms,
            )
