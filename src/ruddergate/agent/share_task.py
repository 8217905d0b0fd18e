"""Divides fleet-wide limits: this VM's shares, and loans between VMs."""

import asyncio
from collections.abc import Iterator

from ruddergate import environment
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import peer_connections
from ruddergate.decisions import shares as share_decisions
from ruddergate.fleet import vm as vms
from ruddergate.messages import entry_load
from ruddergate.messages import quota_loan
from ruddergate.messages import shares as share_messages
from ruddergate.settings import kind as kinds

_INTERVAL_MS = 500.0
_MAX_LENDERS = 2
# A VM borrows when its demand exceeds this fraction of its share.
_BORROW_THRESHOLD = 0.9
_MIN_LOAN = 0.005


class ShareTask:
    """Calculates this VM's shares, and borrows quota to match its demand.

    Attributes:
        demand: Recent demand of the entry by workspace, as a fraction of the
            fleet-wide limit.
    """

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        connections: peer_connections.PeerConnections,
    ) -> None:
        self.demand: dict[str, float] = {}
        self._env = env
        self._config = config
        self._state = state
        self._peer_connections = connections
        self._loans = share_decisions.LoanBook()

    async def run(self) -> None:
        """Borrows for workspaces whose demand exceeds the share.

        Runs until cancelled.
        """
        while True:
            for workspace, demand in sorted(self.demand.items()):
                await self._borrow(workspace, demand)
            await asyncio.sleep(_INTERVAL_MS / 1000.0)

    def update_demand(self, rows: tuple[entry_load.Demand, ...]) -> None:
        """Replaces the entry's demand."""
        self.demand = {row.workspace: row.fraction for row in rows}

    def make_message(self) -> share_messages.Shares:
        """Returns this VM's shares, for its entry."""
        now_ms = self._env.now_ms()
        rows = []
        for workspace in sorted(set(self._list_special_workspaces(now_ms))):
            fraction = self._current_fraction(workspace, now_ms)
            until_ms = self._loans.find_next_expiry_ms(workspace, now_ms)
            valid_ms = min(until_ms - now_ms, share_decisions.LOAN_VALID_MS)
            rows.append(share_messages.Share(workspace, fraction, valid_ms))
        return share_messages.Shares(self._base_fraction(""), tuple(rows))

    def handle_loan_request(
        self, request: quota_loan.QuotaLoanRequest
    ) -> quota_loan.QuotaLoanReply:
        """Lends quota that this VM does not need.

        Its own share shrinks before the reply is sent.
        """
        now_ms = self._env.now_ms()
        fraction = self._loans.lend(
            request.workspace,
            self._base_fraction(request.workspace),
            self.demand.get(request.workspace, 0.0),
            request.fraction,
            min(request.valid_ms, share_decisions.LOAN_VALID_MS),
            now_ms,
        )
        return quota_loan.QuotaLoanReply(request.workspace, fraction)

    async def _borrow(self, workspace: str, demand: float) -> None:
        now_ms = self._env.now_ms()
        own_fraction = self._current_fraction(workspace, now_ms)
        if demand <= own_fraction * _BORROW_THRESHOLD:
            return
        needed = demand / _BORROW_THRESHOLD - own_fraction
        peers = self._state.peers(own_hall=True)
        count = min(len(peers), _MAX_LENDERS)
        for peer in self._env.random.sample(peers, count):
            if needed < _MIN_LOAN:
                return
            needed -= await self._borrow_from(peer, workspace, needed)

    async def _borrow_from(
        self,
        peer: vms.Vm,
        workspace: str,
        needed: float,
    ) -> float:
        requested_ms = self._env.now_ms()
        valid_ms = share_decisions.LOAN_VALID_MS
        request = quota_loan.QuotaLoanRequest(
            self._config.vm_id, workspace, needed, valid_ms
        )
        reply = await self._peer_connections.request(peer, request)
        if (
            not isinstance(reply, quota_loan.QuotaLoanReply)
            or reply.workspace != workspace
        ):
            return 0.0
        self._loans.borrow(workspace, reply.fraction, requested_ms, valid_ms)
        return reply.fraction

    def _current_fraction(self, workspace: str, now_ms: float) -> float:
        return self._loans.find_fraction(
            workspace, self._base_fraction(workspace), now_ms
        )

    def _base_fraction(self, workspace: str) -> float:
        """Returns this VM's base share of a workspace's limits."""
        hall = self._config.hall
        listed = {vm.vm_id for vm in self._state.listing.vms if vm.hall == hall}
        in_hall = share_decisions.base_fraction(
            listed,
            self._state.members.list_known(),
            self._state.answered_peers,
            self._config.vm_id,
        )
        branch = self._state.in_force.tree.branches.get(workspace)
        percent = branch.hall_percent if branch is not None else {}
        halls = self._state.seen_halls
        return in_hall * share_decisions.hall_fraction(hall, percent, halls)

    def _list_special_workspaces(self, now_ms: float) -> Iterator[str]:
        """Yields the workspaces whose share may differ from the default.

        A workspace may be yielded twice.
        """
        yield from self._loans.list_open_loans(now_ms)
        tree = self._state.in_force.tree
        for branch in tree.of_kind(kinds.Kind.WORKSPACE):
            if branch.hall_percent:
                yield branch.name
