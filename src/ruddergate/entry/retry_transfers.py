"""Transfers of retry budget from peers when this VM has none left.

A VM's share of the fleet's retry budget is small, one retry at 195 VMs, and
failures come in bursts at a few VMs. Without transfers, prompts of 300,000
tokens were given up within 13 to 74 ms while the fleet had spent a tenth of its
budget.
"""

from collections.abc import Callable
from collections.abc import Sequence

from ruddergate import environment
from ruddergate.decisions import retries
from ruddergate.entry import peer_rpc
from ruddergate.telemetry import logs

# Peers asked for one retry, as some have little or no budget left.
MAX_PEERS_ASKED = 4
# No further peer is asked after this time. A request to a silent peer takes
# 120 ms to time out, and a VM that is cut off has many silent peers while its
# caller waits.
REQUEST_WINDOW_MS = 100.0
# After a transfer that was not enough, peers are not asked again for this time:
# once all have spent their budgets, requests only cause traffic.
EMPTY_PAUSE_MS = 200.0


class RetryTransfers:
    """Gets retry budget from peers, which give it up for good.

    Args:
        env: Clock and random numbers.
        budget: This VM's retry budget.
        rpc: Requests to peers.
        find_peers: Returns the peers of this VM's hall.
    """

    def __init__(
        self,
        env: environment.Environment,
        budget: retries.Budget,
        rpc: peer_rpc.PeerRpc,
        find_peers: Callable[[], Sequence[str]],
    ) -> None:
        self._env = env
        self._budget = budget
        self._rpc = rpc
        self._find_peers = find_peers
        self._paused_until_ms = {True: 0.0, False: 0.0}
        self._log = logs.make_logger("retries")

    async def acquire(self, is_large: bool) -> bool:
        """Returns whether a retry can be made, after transfers if needed.

        Args:
            is_large: Whether it is for a prompt that costs as much as many
                short ones.
        """
        if self._budget.can_retry():
            return True
        now_ms = self._env.now_ms()
        if now_ms < self._paused_until_ms[is_large]:
            return False
        asked, received = await self._request_transfers(is_large)
        is_available = self._budget.can_retry()
        if not is_available:
            self._paused_until_ms[is_large] = now_ms + EMPTY_PAUSE_MS
        self._log.info(
            "Retry budget transferred from peers."
            if is_available
            else "No retry budget available from peers.",
            peers_asked=asked,
            lent=round(received, 2),
            tokens=round(self._budget.tokens, 2),
        )
        return is_available

    async def _request_transfers(self, is_large: bool) -> tuple[int, float]:
        """Asks one peer after the other for the missing budget.

        Several peers asked at once would give up more than is used.

        Returns:
            How many peers were asked, and how much they transferred.
        """
        until_ms = self._env.now_ms() + REQUEST_WINDOW_MS
        peers = list(self._find_peers())
        count = min(MAX_PEERS_ASKED, len(peers))
        asked = 0
        total = 0.0
        for peer in self._env.random.sample(peers, count):
            if self._budget.can_retry() or self._env.now_ms() >= until_ms:
                break
            asked += 1
            missing = retries.RETRY_COST - self._budget.tokens
            received = await self._rpc.request_retries(peer, missing, is_large)
            self._budget.receive_transfer(received)
            total += received
        return asked, total
