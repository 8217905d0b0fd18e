"""Transfers of rate tokens from peers when this VM has none left.

Each VM holds a share of a target's rate limit, also one that gets no requests
at the moment. Without transfers, a VM that gets most of the new connections of
its fleet refuses requests while the shares of its peers are not used.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

from ruddergate import environment
from ruddergate.entry import peer_rpc
from ruddergate.entry import rate_limiter
from ruddergate.messages import rate_token_transfer
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# Peers asked in one round.
MAX_PEERS_ASKED = 4
# No further peer is asked after this time, as the caller waits.
REQUEST_WINDOW_MS = 100.0
# Rounds for one pool begin at least this far apart. Requests that arrive
# meanwhile share the next one.
ROUND_INTERVAL_MS = 20.0
# After a round without a token, no peer is asked for this time: once all have
# spent their shares, requests only cause traffic.
EMPTY_PAUSE_MS = 200.0
# A peer that gave fewer tokens than requested is not asked again until it may
# have another one, but within this range.
_PEER_PAUSE_MS = (50.0, 2_000.0)
# A peer that does not reply is not asked again for this time, twice as long
# after each further time up to the maximum. It may run an earlier release,
# which ignores the request.
SILENT_PAUSE_MS = 250.0
MAX_SILENT_PAUSE_MS = 8_000.0
# A VM that lacked a token itself transfers none to peers for this time.
LACKING_MS = 1_000.0
# Targets considered in one round.
_MAX_TARGETS = 64
# Pauses of peers kept.
_MAX_PAUSES = 1_024
_LOG_LINES_PER_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What requests for a pool lack.

    Attributes:
        tokens: Number of requests for which this VM has no token.
        target_ids: Targets with rate limits that would accept one.
    """

    tokens: int
    target_ids: tuple[str, ...] = ()


NO_DEMAND = Demand(0)


class RateTransfers:
    """Gets rate tokens from peers, and gives them to peers for good.

    Args:
        env: Clock and random numbers.
        hall: Data hall of this VM.
        limiter: This VM's shares of limits.
        rpc: Requests to peers.
        find_demand: Returns what the requests for a pool lack, given its name
            and the number of requests that are not queued yet.
        find_hall: Returns the hall of a target.
        metrics: Metrics of the process.

    Attributes:
        received: Tokens received from peers.
    """

    def __init__(
        self,
        env: environment.Environment,
        hall: str,
        limiter: rate_limiter.RateLimiter,
        rpc: peer_rpc.PeerRpc,
        find_demand: Callable[[str, int], Demand],
        find_hall: Callable[[str], str],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._hall = hall
        self._limiter = limiter
        self._limits = limiter.limits
        self._rpc = rpc
        self._find_demand = find_demand
        self._find_hall = find_hall
        self._metrics = metrics
        self.received = 0
        self._rounds: dict[str, asyncio.Task[None]] = {}
        self._waiting: dict[str, int] = {}
        # When the next round may begin, by pool, and when a peer may be asked.
        self._next_round_ms: dict[str, float] = {}
        self._next_request_ms: dict[str, float] = {}
        # Pauses of peers that did not reply, the last time.
        self._silent_pause_ms: dict[str, float] = {}
        self._lacking_until_ms = float("-inf")
        self._log = logs.make_logger("target")
        self._log_credit = _LOG_LINES_PER_S
        self._log_refilled_ms = env.now_ms()
        self._log_left_out = 0

    async def acquire(self, pool: str) -> None:
        """Gets tokens from peers if a request for a pool lacks one.

        Args:
            pool: Name of the pool.
        """
        if not len(self._limits):
            return
        demand = self._find_demand(pool, self._waiting.get(pool, 0) + 1)
        if not demand.tokens or not demand.target_ids:
            return
        now_ms = self._env.now_ms()
        self._lacking_until_ms = now_ms + LACKING_MS
        if pool not in self._rounds:
            delay_ms = self._next_round_ms.get(pool, now_ms) - now_ms
            if delay_ms > ROUND_INTERVAL_MS or not self._find_lenders(demand):
                return
            self._rounds[pool] = asyncio.ensure_future(
                self._run_round(pool, delay_ms)
            )
        self._waiting[pool] = self._waiting.get(pool, 0) + 1
        try:
            # Unlike awaiting the task, this does not cancel it.
            await asyncio.wait({self._rounds[pool]})
        finally:
            self._waiting[pool] -= 1

    def answer(
        self, request: rate_token_transfer.RateTokenRequest
    ) -> rate_token_transfer.RateTokenReply:
        """Takes out tokens that this VM does not need, for a peer."""
        now_ms = self._env.now_ms()
        is_lacking = now_ms < self._lacking_until_ms
        transferred: list[str] = []
        for each in () if is_lacking else request.limits:
            if len(transferred) >= request.tokens:
                break
            if each.target_id not in transferred and self._limits.lend_token(
                each.target_id, each.rate_per_s, now_ms
            ):
                transferred.append(each.target_id)
        self._metrics.rate_token_transfers.add(
            {"role": "lender"}, len(transferred)
        )
        self._log_transfer(
            "Rate tokens requested by a peer.",
            request.correlation_id,
            request.sender,
            [each.target_id for each in request.limits],
            tokens=request.tokens,
            transferred=transferred,
            is_lacking=is_lacking,
        )
        return rate_token_transfer.RateTokenReply(
            request.correlation_id,
            tuple(transferred),
            self._find_next_ms(request, now_ms),
        )

    def _find_next_ms(
        self, request: rate_token_transfer.RateTokenRequest, now_ms: float
    ) -> float:
        """Returns the time until there may be another token for a request."""
        lend_ms = min(
            self._limits.find_lend_ms(each.target_id, now_ms)
            for each in request.limits
        )
        return max(lend_ms, self._lacking_until_ms) - now_ms

    async def _run_round(self, pool: str, delay_ms: float) -> None:
        try:
            await asyncio.sleep(max(0.0, delay_ms) / 1_000.0)
            received = await self._ask_peers(pool)
            pause_ms = ROUND_INTERVAL_MS if received else EMPTY_PAUSE_MS
            self._next_round_ms[pool] = self._env.now_ms() + pause_ms
        finally:
            del self._rounds[pool]

    async def _ask_peers(self, pool: str) -> int:
        """Asks one peer after the other for the missing tokens.

        Several peers asked at once would give up more than is used.

        Returns:
            How many tokens were received.
        """
        until_ms = self._env.now_ms() + REQUEST_WINDOW_MS
        asked: set[str] = set()
        received = 0
        while len(asked) < MAX_PEERS_ASKED and self._env.now_ms() < until_ms:
            demand = self._find_demand(pool, self._waiting.get(pool, 0))
            lenders = self._find_lenders(demand) if demand.tokens else {}
            peer = next((each for each in lenders if each not in asked), None)
            if peer is None:
                break
            asked.add(peer)
            received += await self._ask(peer, lenders[peer], demand.tokens)
        return received

    async def _ask(
        self, peer: str, target_ids: Sequence[str], tokens: int
    ) -> int:
        """Returns how many tokens a peer transferred."""
        asked_ms = self._env.now_ms()
        limits = tuple(
            rate_token_transfer.KnownLimit(
                each, self._limits.find_share(each, asked_ms)[0]
            )
            for each in target_ids[: rate_token_transfer.MAX_LIMITS]
        )
        age_ms = max(
            self._limits.find_age_ms(each.target_id, asked_ms)
            for each in limits
        )
        tokens = min(tokens, len(limits))
        result = await self._rpc.request_rate_tokens(peer, limits, tokens)
        now_ms = self._env.now_ms()
        rates = {each.target_id: each.rate_per_s for each in limits}
        received = [
            each
            for each in result.target_ids or ()
            if self._limits.receive_token(each, rates[each], asked_ms, now_ms)
        ]
        self.received += len(received)
        self._note_reply(peer, result, tokens, now_ms)
        self._metrics.rate_token_transfers.add(
            {"role": "borrower"}, len(received)
        )
        self._metrics.rate_token_requests.inc(
            {"result": _describe(result, received)}
        )
        self._log_transfer(
            "Rate tokens requested from a peer.",
            result.correlation_id,
            peer,
            list(rates),
            tokens=tokens,
            limit_age_ms=round(age_ms),
            transferred=received,
            result=_describe(result, received),
            took_ms=round(now_ms - asked_ms, 1),
        )
        return len(received)

    def _find_lenders(self, demand: Demand) -> dict[str, list[str]]:
        """Returns the peers that may have tokens, the nearest first.

        Returns:
            Targets of which they hold a share, by peer.
        """
        now_ms = self._env.now_ms()
        target_ids = self._shuffle(demand.target_ids)
        target_ids.sort(key=lambda each: self._find_hall(each) != self._hall)
        lenders: dict[str, list[str]] = {}
        for target_id in target_ids[:_MAX_TARGETS]:
            for peer in self._limiter.find_lenders(target_id):
                if self._next_request_ms.get(peer, now_ms) <= now_ms:
                    lenders.setdefault(peer, []).append(target_id)
        peers = self._shuffle(lenders)
        peers.sort(key=lambda each: self._limiter.find_hall(each) != self._hall)
        return {each: lenders[each] for each in peers}

    def _shuffle(self, names: Iterable[str]) -> list[str]:
        shuffled = list(names)
        self._env.random.shuffle(shuffled)
        return shuffled

    def _note_reply(
        self,
        peer: str,
        result: peer_rpc.RateTokens,
        tokens: int,
        now_ms: float,
    ) -> None:
        """Pauses requests to a peer that gave too few tokens or is silent."""
        if len(self._next_request_ms) >= _MAX_PAUSES:
            self._next_request_ms.clear()
            self._silent_pause_ms.clear()
        if result.target_ids is None:
            pause_ms = min(
                MAX_SILENT_PAUSE_MS,
                2.0 * self._silent_pause_ms.get(peer, SILENT_PAUSE_MS / 2.0),
            )
            self._silent_pause_ms[peer] = pause_ms
            self._next_request_ms[peer] = now_ms + pause_ms
            return
        self._silent_pause_ms.pop(peer, None)
        if len(result.target_ids) < tokens:
            shortest_ms, longest_ms = _PEER_PAUSE_MS
            pause_ms = min(longest_ms, max(shortest_ms, result.next_ms))
            self._next_request_ms[peer] = now_ms + pause_ms

    def _log_transfer(
        self,
        message: str,
        transfer_id: str,
        peer: str,
        target_ids: Sequence[str],
        **values: object,
    ) -> None:
        """Logs a transfer, unless there were many in the last second."""
        now_ms = self._env.now_ms()
        earned = (now_ms - self._log_refilled_ms) / 1_000.0 * _LOG_LINES_PER_S
        self._log_credit = min(_LOG_LINES_PER_S, self._log_credit + earned)
        self._log_refilled_ms = now_ms
        if self._log_credit < 1.0:
            self._log_left_out += 1
            return
        self._log_credit -= 1.0
        self._log.info(
            message,
            transfer=transfer_id,
            peer=peer,
            targets=target_ids,
            left_out=self._log_left_out,
            **values,
        )
        self._log_left_out = 0


def find_missing(
    sendable: Iterable[tuple[str, float]], requests: int
) -> Demand:
    """Returns what requests lack.

    Args:
        sendable: How many requests each target accepts from this VM now, by
            its name; infinity without a limit.
        requests: Number of requests.
    """
    left = float(requests)
    target_ids: list[str] = []
    for target_id, count in sendable:
        left -= count
        if left <= 0.0:
            return NO_DEMAND
        target_ids.append(target_id)
    return Demand(math.ceil(left), tuple(target_ids))


def _describe(result: peer_rpc.RateTokens, received: Sequence[str]) -> str:
    if result.target_ids is None:
        return "no reply"
    if not result.target_ids:
        return "none"
    return "received" if received else "expired"
