"""Keeps calls off targets whose content has ended several of them.

Owns what this VM knows of such contents, and tells whoever is to pass it on of
each change. See decisions/suspicion.py for what counts.
"""

from collections.abc import Callable

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import call_content
from ruddergate.decisions import suspicion
from ruddergate.entry import lost_call
from ruddergate.messages import poison_reports as messages
from ruddergate.telemetry import logs


class Suspects:
    """Contents under which targets have ended.

    Args:
        outside: Clock.
        note_change: Is told the content of which there is news to be passed on.
    """

    def __init__(
        self,
        outside: environment.Environment,
        note_change: Callable[[str], None] = lambda content: None,
    ) -> None:
        self._outside = outside
        self._note_change = note_change
        self._suspicion = suspicion.Suspicion()
        # What the log last said of a content: whether it is quarantined.
        self._told: dict[str, bool] = {}
        self._log = logs.make_logger("suspects")

    def __len__(self) -> int:
        return len(self._suspicion)

    def note_ended(self, lost: lost_call.LostCall) -> None:
        """Notes that a target ended under a call."""
        now_ms = self._outside.now_ms()
        incarnation = lost.target.incarnation
        weight = suspicion.find_weight(lost.there_ms, lost.reading_ms)
        if self._suspicion.note_ended(
            lost.content, incarnation, weight, now_ms
        ):
            self._note_news(lost.content, lost.request_id)

    def note_finished(self, request: requests.Request) -> None:
        """Notes that a call ran to its end.

        Nothing is computed while no content is suspect.
        """
        if not len(self._suspicion):
            return
        content = name_content(request)
        if self._suspicion.note_finished(content, self._outside.now_ms()):
            self._note_news(content, request.request_id)

    def is_suspect(self, request: requests.Request) -> bool:
        """Returns whether a target has ended under a call's content."""
        if not len(self._suspicion):
            return False
        now_ms = self._outside.now_ms()
        content = name_content(request)
        return self._suspicion.count_against(content, now_ms) > 0

    def refuse(self, request: requests.Request) -> outcomes.NotServed | None:
        """Returns a refusal if a call is not to be sent to any target.

        It holds for this moment, and is to be asked for in the step that sends:
        a peer may have told of the decisive end a millisecond ago.
        """
        if not len(self._suspicion):
            return None
        content = name_content(request)
        left_ms = self._suspicion.find_left_ms(content, self._outside.now_ms())
        if left_ms <= 0.0:
            return None
        return outcomes.refuse(
            outcomes.Reason.QUARANTINED,
            f"targets have ended under calls like this one, content {content}",
            left_ms,
        )

    def take(self, told: messages.PoisonReports) -> set[str]:
        """Takes in what a peer told; returns the contents that are news."""
        fault = suspicion.find_fault(told.rows)
        if fault:
            self._log.warning(
                "Suspects of a peer dropped: {}.", fault, peer=told.sender
            )
            return set()
        now_ms = self._outside.now_ms()
        news = self._suspicion.take(told.rows, now_ms)
        for content in news:
            self._tell_operators(content, "", told.sender)
        return news

    def describe(
        self, contents: list[str]
    ) -> tuple[messages.PoisonReport, ...]:
        """Returns what is known of contents, to be told to peers."""
        now_ms = self._outside.now_ms()
        rows = [self._suspicion.describe(each, now_ms) for each in contents]
        return tuple(row for row in rows if row is not None)

    def rank(self) -> list[str]:
        """Returns the contents, those under which most ended first."""
        return self._suspicion.rank(self._outside.now_ms())

    def list_quarantined(self) -> list[str]:
        """Returns the contents that are quarantined."""
        return self._suspicion.list_quarantined(self._outside.now_ms())

    def _note_news(self, content: str, request_id: str) -> None:
        self._tell_operators(content, request_id, "")
        self._note_change(content)

    def _tell_operators(self, content: str, request_id: str, peer: str) -> None:
        """Logs what changed for a content, with the lives that say so."""
        now_ms = self._outside.now_ms()
        left_ms = self._suspicion.find_left_ms(content, now_ms)
        is_quarantined = left_ms > 0.0
        if self._told.get(content, False) == is_quarantined:
            return
        self._told[content] = is_quarantined
        if not is_quarantined:
            del self._told[content]
        row = self._suspicion.describe(content, now_ms)
        self._log.warning(
            "Content {} is quarantined."
            if is_quarantined
            else "Content {} is quarantined no more.",
            content,
            request_id=request_id,
            peer=peer,
            left_ms=round(left_ms),
            ended=[
                f"{each.incarnation.target_id} born {each.incarnation.started_ms}, "
                f"{each.age_ms:.0f} ms ago, weight {each.weight}"
                for each in (row.ended if row else ())
            ],
        )


def name_content(request: requests.Request) -> str:
    """Returns the name that all tries of the same call share."""
    payload = request.payload
    return call_content.name_content(
        request.workload.workspace, payload.host, payload.target, payload.body
    )
