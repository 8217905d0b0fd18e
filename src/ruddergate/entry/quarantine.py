"""Keeps poison requests, which have crashed several targets, off targets.

Holds this VM's evidence by request fingerprint, and announces each change for
gossip. The rules are in decisions/poison_requests.py.
"""

from collections.abc import Callable

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import poison_requests
from ruddergate.decisions import request_fingerprint
from ruddergate.entry import lost_call
from ruddergate.messages import poison_reports as messages
from ruddergate.telemetry import logs


class Quarantine:
    """Fingerprints of requests during which targets have ended.

    Args:
        env: Clock.
        on_change: Called with a fingerprint whose evidence changed, to have it
            sent to peers.
    """

    def __init__(
        self,
        env: environment.Environment,
        on_change: Callable[[str], None] = lambda fingerprint: None,
    ) -> None:
        self._env = env
        self._on_change = on_change
        self._evidence = poison_requests.PoisonRequests()
        # Fingerprints that were last logged as quarantined.
        self._logged: dict[str, bool] = {}
        self._log = logs.make_logger("suspects")

    def __len__(self) -> int:
        return len(self._evidence)

    def on_target_ended(self, lost: lost_call.LostCall) -> None:
        """Records that a target ended while it served a request."""
        now_ms = self._env.now_ms()
        incarnation = lost.target.incarnation
        weight = poison_requests.weigh_crash(
            lost.since_sent_ms, lost.prefill_ms, lost.has_begun
        )
        if self._evidence.note_crash(
            lost.fingerprint, incarnation, weight, now_ms
        ):
            self._announce(lost.fingerprint, lost.request_id)

    def on_request_finished(self, request: requests.Request) -> None:
        """Records that a request ran to its end.

        Nothing is computed while there is no evidence.
        """
        if not len(self._evidence):
            return
        fingerprint = find_fingerprint(request)
        if self._evidence.note_completed(fingerprint, self._env.now_ms()):
            self._announce(fingerprint, request.request_id)

    def is_suspected(self, request: requests.Request) -> bool:
        """Returns whether there is evidence against requests like this."""
        if not len(self._evidence):
            return False
        now_ms = self._env.now_ms()
        fingerprint = find_fingerprint(request)
        return self._evidence.count_crashes(fingerprint, now_ms) > 0

    def check_admission(
        self, request: requests.Request
    ) -> outcomes.NotServed | None:
        """Returns a refusal if a request must not be sent to any target.

        The result is valid at this moment only, and must be obtained in the
        step that sends: a peer may have reported the decisive crash a
        millisecond ago.
        """
        if not len(self._evidence):
            return None
        fingerprint = find_fingerprint(request)
        left_ms = self._evidence.find_quarantine_left_ms(
            fingerprint, self._env.now_ms()
        )
        if left_ms <= 0.0:
            return None
        return outcomes.refuse(
            outcomes.Reason.QUARANTINED,
            f"targets crashed under requests like this one, id {fingerprint}",
            left_ms,
        )

    def merge_gossip(self, message: messages.PoisonReports) -> set[str]:
        """Merges a peer's evidence; returns the fingerprints that changed."""
        problem = poison_requests.find_error(message.rows)
        if problem:
            self._log.warning(
                "Ignoring evidence of a peer: {}.", problem, peer=message.sender
            )
            return set()
        now_ms = self._env.now_ms()
        changed = self._evidence.merge(message.rows, now_ms)
        for fingerprint in changed:
            self._log_change(fingerprint, "", message.sender)
        return changed

    def list_evidence(
        self, fingerprints: list[str]
    ) -> tuple[messages.PoisonReport, ...]:
        """Returns the evidence on fingerprints, to be sent to peers."""
        now_ms = self._env.now_ms()
        rows = [self._evidence.describe(each, now_ms) for each in fingerprints]
        return tuple(row for row in rows if row is not None)

    def rank_fingerprints(self) -> list[str]:
        """Returns the fingerprints, those that ended most targets first."""
        return self._evidence.rank(self._env.now_ms())

    def list_quarantined(self) -> list[str]:
        """Returns the quarantined fingerprints."""
        return self._evidence.list_quarantined(self._env.now_ms())

    def _announce(self, fingerprint: str, request_id: str) -> None:
        self._log_change(fingerprint, request_id, "")
        self._on_change(fingerprint)

    def _log_change(self, fingerprint: str, request_id: str, peer: str) -> None:
        """Logs a change of a quarantine, with the evidence for it."""
        now_ms = self._env.now_ms()
        left_ms = self._evidence.find_quarantine_left_ms(fingerprint, now_ms)
        is_quarantined = left_ms > 0.0
        if self._logged.get(fingerprint, False) == is_quarantined:
            return
        self._logged[fingerprint] = is_quarantined
        if not is_quarantined:
            del self._logged[fingerprint]
        row = self._evidence.describe(fingerprint, now_ms)
        self._log.warning(
            "Request fingerprint {} is quarantined."
            if is_quarantined
            else "Request fingerprint {} is no longer quarantined.",
            fingerprint,
            request_id=request_id,
            peer=peer,
            left_ms=round(left_ms),
            ended=[
                f"{each.incarnation.target_id} started at "
                f"{each.incarnation.started_ms}, "
                f"{each.age_ms:.0f} ms ago, weight {each.weight}"
                for each in (row.ended if row else ())
            ],
        )


def find_fingerprint(request: requests.Request) -> str:
    """Returns the fingerprint that all attempts of a request share."""
    payload = request.payload
    return request_fingerprint.fingerprint_request(
        request.workload.workspace, payload.host, payload.target, payload.body
    )
