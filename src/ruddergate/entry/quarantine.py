"""Keeps poison requests, which have crashed several targets, off targets.

Holds this VM's evidence by fingerprint, of contents and of parts of prompts,
and announces each change for gossip. Requests that may be poison wait for each
other here. The rules are in decisions/poison_requests.py.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import poison_requests
from ruddergate.decisions import request_fingerprint
from ruddergate.entry import lost_call
from ruddergate.messages import poison_reports as messages
from ruddergate.telemetry import logs

# How long a request waits for the result of a trial of one of its parts. A
# trial takes about as long as a first event and LASTING_MS.
MAX_TRIAL_WAIT_MS = 1_000.0
# Range of the retry-after when it has waited for that long.
_TRIAL_RETRY_MS = (500.0, 1_000.0)
# A response that was lost without a verdict on its target keeps further trials
# back for this long.
_VERDICT_WAIT_MS = 300.0


_ON_TRIAL = poison_requests.Verdict.ON_TRIAL


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A trial that this VM has sent.

    Attributes:
        suspects: The fingerprints that are tried.
        began_ms: When it was sent.
    """

    suspects: list[str]
    began_ms: float


class Quarantine:
    """Fingerprints of requests during which targets have crashed.

    Args:
        env: Clock.
        on_change: Called with a fingerprint whose evidence changed, to have it
            sent to peers.

    Attributes:
        trials: Number of requests that this VM sent as trials.
    """

    def __init__(
        self,
        env: environment.Environment,
        on_change: Callable[[str], None] = lambda fingerprint: None,
    ) -> None:
        self._env = env
        self._on_change = on_change
        self.trials = 0
        self._evidence = poison_requests.PoisonRequests(env.random.random)
        # Replaced and set at each change.
        self._changed = asyncio.Event()
        # This VM's own trials, by request.
        self._own_trials: dict[str, _Trial] = {}
        # Fingerprints that were last logged as quarantined.
        self._logged: dict[str, bool] = {}
        self._log = logs.make_logger("suspects")

    def __len__(self) -> int:
        return len(self._evidence)

    def on_target_ended(self, lost: lost_call.LostCall) -> None:
        """Records that a target ended while it served a request."""
        weight = poison_requests.weigh_crash(
            lost.since_sent_ms, lost.prefill_ms, lost.has_begun
        )
        self._note_crash(lost, lost.fingerprint, weight)
        weight = poison_requests.weigh_part_crash(
            lost.since_sent_ms, lost.prefill_ms, lost.targets
        )
        if lost.has_lasted or weight <= 0.0:
            return
        for name in lost.shared_parts:
            fingerprint = request_fingerprint.fingerprint_part(name)
            self._note_crash(lost, fingerprint, weight)

    def _note_crash(
        self, lost: lost_call.LostCall, fingerprint: str, weight: float
    ) -> None:
        if self._evidence.note_crash(
            fingerprint,
            lost.target.incarnation,
            weight,
            self._env.now_ms(),
            lost.since_sent_ms,
        ):
            self._announce(fingerprint, lost.request_id)

    def on_response_lasting(
        self, request: requests.Request, began_ms: float
    ) -> None:
        """Records that a target lives on after it began to respond.

        Args:
            request: The request.
            began_ms: When the response began.
        """
        for name in request.payload.shared_parts:
            fingerprint = request_fingerprint.fingerprint_part(name)
            if self._evidence.note_lasting(fingerprint, began_ms):
                self._log.info(
                    "Crashes before do not count against fingerprint {}, "
                    "as a response lasted.",
                    fingerprint,
                    request_id=request.request_id,
                    began_age_ms=round(self._env.now_ms() - began_ms),
                )
                self._announce(fingerprint, request.request_id)

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
        return any(
            self._evidence.is_suspect(each, now_ms)
            for each in find_fingerprints(request)
        )

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
        return self._refuse_quarantined(self._judge(find_fingerprints(request)))

    async def wait_for_trial(
        self, request: requests.Request, wait_ms: float
    ) -> outcomes.NotServed | None:
        """Waits while another request with a suspect part is tried.

        Args:
            request: The request.
            wait_ms: How long to wait at most.

        Returns:
            A refusal if the request must not be sent after that.
        """
        if not len(self._evidence):
            return None
        fingerprints = find_fingerprints(request)
        until_ms = self._env.now_ms() + min(wait_ms, MAX_TRIAL_WAIT_MS)
        while True:
            judgment = self._judge(fingerprints)
            refusal = self._refuse_quarantined(judgment)
            if refusal is not None or not self._must_wait(
                judgment, fingerprints
            ):
                return refusal
            left_ms = until_ms - self._env.now_ms()
            if left_ms <= 0.0:
                return self._refuse_during_trial(judgment)
            await self._wait_for_change(min(left_ms, _VERDICT_WAIT_MS))

    def admit(self, request: requests.Request) -> outcomes.NotServed | None:
        """Returns a refusal, or counts a request with suspect parts as a trial.

        Called in the step that sends.
        """
        if not len(self._evidence):
            return None
        fingerprints = find_fingerprints(request)
        judgment = self._judge(fingerprints)
        refusal = self._refuse_quarantined(judgment)
        if refusal is None and self._must_wait(judgment, fingerprints):
            refusal = self._refuse_during_trial(judgment)
        if refusal is None and judgment.verdict is _ON_TRIAL:
            self._begin_trial(request, fingerprints)
        return refusal

    def on_attempt_ended(
        self, request: requests.Request, is_lost: bool
    ) -> None:
        """Records the end of an attempt, which may have been a trial.

        Args:
            request: The request.
            is_lost: Whether it lost its target, which is being probed now.
        """
        trial = self._own_trials.pop(request.request_id, None)
        if trial is None:
            return
        if is_lost:
            loop = asyncio.get_running_loop()
            loop.call_later(_VERDICT_WAIT_MS / 1000.0, self._end_trial, trial)
        else:
            self._end_trial(trial)

    def _judge(self, fingerprints: Sequence[str]) -> poison_requests.Judgment:
        return self._evidence.judge(fingerprints, self._env.now_ms())

    def _must_wait(
        self, judgment: poison_requests.Judgment, fingerprints: Sequence[str]
    ) -> bool:
        if judgment.verdict is not _ON_TRIAL:
            return False
        return self._evidence.is_trial_running(fingerprints, self._env.now_ms())

    def _refuse_quarantined(
        self, judgment: poison_requests.Judgment
    ) -> outcomes.NotServed | None:
        if judgment.verdict is not poison_requests.Verdict.QUARANTINED:
            return None
        return outcomes.refuse(
            outcomes.Reason.QUARANTINED,
            "targets crashed under requests like this one, id "
            f"{judgment.fingerprint}",
            judgment.left_ms,
        )

    def _refuse_during_trial(
        self, judgment: poison_requests.Judgment
    ) -> outcomes.NotServed:
        return outcomes.refuse(
            outcomes.Reason.TRIAL_RUNNING,
            "targets crashed under requests like this one, and another one is "
            f"being tried, id {judgment.fingerprint}",
            self._env.random.uniform(*_TRIAL_RETRY_MS),
        )

    def _begin_trial(
        self, request: requests.Request, fingerprints: Sequence[str]
    ) -> None:
        now_ms = self._env.now_ms()
        suspects = self._evidence.begin_trial(fingerprints, now_ms)
        self._own_trials[request.request_id] = _Trial(suspects, now_ms)
        self.trials += 1
        self._log.info(
            "Request is tried on a target, as it may be poison.",
            request_id=request.request_id,
            suspects=suspects,
        )
        for each in suspects:
            self._on_change(each)

    def _end_trial(self, trial: "_Trial") -> None:
        self._evidence.end_trial(trial.suspects, trial.began_ms)
        self._wake()

    async def _wait_for_change(self, wait_ms: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

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
        for row in message.rows:
            if self._evidence.lacks_proof(row):
                self._on_change(row.fingerprint)
        if changed:
            self._wake()
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
        self._wake()

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


def find_fingerprints(request: requests.Request) -> tuple[str, ...]:
    """Returns the fingerprints of a request's content and of its parts."""
    parts = request.payload.shared_parts
    return (
        find_fingerprint(request),
        *map(request_fingerprint.fingerprint_part, parts),
    )


def find_fingerprint(request: requests.Request) -> str:
    """Returns the fingerprint that all attempts of a request share."""
    payload = request.payload
    return request_fingerprint.fingerprint_request(
        request.workload.workspace, payload.host, payload.target, payload.body
    )
