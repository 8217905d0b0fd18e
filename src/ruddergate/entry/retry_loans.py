"""Second sends borrowed from peers when this VM has none left.

A VM's own part of the fleet's allowance is small, one second send at 195 VMs,
and what fails comes in bursts at a few VMs: prompts of 300,000 tokens were
given up within 13 to 74 ms while the fleet had spent a tenth of its allowance.
"""

from collections.abc import Callable
from collections.abc import Sequence

from ruddergate import environment
from ruddergate.decisions import retries
from ruddergate.entry import peer_questions
from ruddergate.telemetry import logs

# Peers asked for one second send: some have little or nothing left.
PEERS_ASKED = 4
# No further peer is asked after this time: one that is silent takes 120 ms, and
# a VM that is cut off has many such peers while its caller waits.
BORROWING_MS = 100.0
# With nothing to be had, peers are not asked again for this time: when all
# have spent theirs, questions are no use to anybody.
REFUSED_PAUSE_MS = 200.0


class RetryLoans:
    """Borrows second sends; peers give them up for good.

    Args:
        outside: Clock and chance.
        budget: This VM's own second sends.
        questions: Asks peers.
        find_peers: Returns the peers of this VM's hall.
    """

    def __init__(
        self,
        outside: environment.Environment,
        budget: retries.Budget,
        questions: peer_questions.PeerQuestions,
        find_peers: Callable[[], Sequence[str]],
    ) -> None:
        self._outside = outside
        self._budget = budget
        self._questions = questions
        self._find_peers = find_peers
        self._paused_until_ms = {True: 0.0, False: 0.0}
        self._log = logs.make_logger("retries")

    async def secure(self, is_large: bool) -> bool:
        """Sees to it that a second send can be made; returns whether it can.

        Args:
            is_great: Whether it is for a prompt worth many short ones.
        """
        if self._budget.has_one():
            return True
        now_ms = self._outside.now_ms()
        if now_ms < self._paused_until_ms[is_large]:
            return False
        asked, lent = await self._borrow(is_large)
        is_had = self._budget.has_one()
        if not is_had:
            self._paused_until_ms[is_large] = now_ms + REFUSED_PAUSE_MS
        self._log.info(
            "Second send borrowed." if is_had else "No second send to borrow.",
            peers_asked=asked,
            lent=round(lent, 2),
            tokens=round(self._budget.tokens, 2),
        )
        return is_had

    async def _borrow(self, is_large: bool) -> tuple[int, float]:
        """Asks one peer after the other for what is missing.

        Several at once would give up more than is used.

        Returns:
            How many peers were asked, and what they gave.
        """
        until_ms = self._outside.now_ms() + BORROWING_MS
        peers = list(self._find_peers())
        count = min(PEERS_ASKED, len(peers))
        asked = 0
        given = 0.0
        for peer in self._outside.random.sample(peers, count):
            if self._budget.has_one() or self._outside.now_ms() >= until_ms:
                break
            asked += 1
            missing = retries.ONE - self._budget.tokens
            lent = await self._questions.ask_retries(peer, missing, is_large)
            self._budget.take_loan(lent)
            given += lent
        return asked, given
