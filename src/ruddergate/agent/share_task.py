"""Divides fleet-wide limits: this VM's part, and lending."""

import asyncio
from collections.abc import Iterator

from ruddergate import environment
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import peer_connections
from ruddergate.decisions import shares as decisions
from ruddergate.fleet import vm as vms
from ruddergate.messages import entry_load
from ruddergate.messages import lend
from ruddergate.messages import shares as messages
from ruddergate.settings import kind as kinds

_ROUND_MS = 500.0
_PEERS_ASKED = 2
# A VM borrows when its demand takes more than this much of its part.
_BORROW_ABOVE = 0.9
_LEAST_LOAN = 0.005


class ShareTask:
    """The task that works out this VM's parts and borrows for its demand.

    Attributes:
        demand: Recent demand of the entry, as parts of the limits.
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
        self._book = decisions.LoanBook()

    async def run(self) -> None:
        """Borrows where demand is above the part, until cancelled."""
        while True:
            for workspace, wanted in sorted(self.demand.items()):
                await self._borrow(workspace, wanted)
            await asyncio.sleep(_ROUND_MS / 1000.0)

    def take_demand(self, rows: tuple[entry_load.Demand, ...]) -> None:
        """Takes in the entry's demand."""
        self.demand = {row.workspace: row.fraction for row in rows}

    def make_message(self) -> messages.Shares:
        """Returns this VM's parts, for its entry."""
        now_ms = self._env.now_ms()
        rows = []
        for workspace in sorted(set(self._special(now_ms))):
            fraction = self._fraction(workspace, now_ms)
            until_ms = self._book.find_next_expiry_ms(workspace, now_ms)
            valid_ms = min(until_ms - now_ms, decisions.LOAN_VALID_MS)
            rows.append(messages.Share(workspace, fraction, valid_ms))
        return messages.Shares(self._base(""), tuple(rows))

    def answer(self, wanted: lend.LendWanted) -> lend.Lent:
        """Lends what this VM does not need; its own part shrinks at once."""
        now_ms = self._env.now_ms()
        fraction = self._book.lend(
            wanted.workspace,
            self._base(wanted.workspace),
            self.demand.get(wanted.workspace, 0.0),
            wanted.fraction,
            min(wanted.valid_ms, decisions.LOAN_VALID_MS),
            now_ms,
        )
        return lend.Lent(wanted.workspace, fraction)

    async def _borrow(self, workspace: str, wanted: float) -> None:
        now_ms = self._env.now_ms()
        own = self._fraction(workspace, now_ms)
        if wanted <= own * _BORROW_ABOVE:
            return
        missing = wanted / _BORROW_ABOVE - own
        peers = self._state.peers(own_hall=True)
        count = min(len(peers), _PEERS_ASKED)
        for peer in self._env.random.sample(peers, count):
            if missing < _LEAST_LOAN:
                return
            missing -= await self._borrow_from(peer, workspace, missing)

    async def _borrow_from(
        self,
        peer: vms.Vm,
        workspace: str,
        missing: float,
    ) -> float:
        asked_ms = self._env.now_ms()
        valid_ms = decisions.LOAN_VALID_MS
        wanted = lend.LendWanted(
            self._config.vm_id, workspace, missing, valid_ms
        )
        answer = await self._peer_connections.request(peer, wanted)
        if not isinstance(answer, lend.Lent) or answer.workspace != workspace:
            return 0.0
        self._book.borrow(workspace, answer.fraction, asked_ms, valid_ms)
        return answer.fraction

    def _fraction(self, workspace: str, now_ms: float) -> float:
        return self._book.find_fraction(
            workspace, self._base(workspace), now_ms
        )

    def _base(self, workspace: str) -> float:
        """Returns this VM's base part of a workspace's limits."""
        hall = self._config.hall
        listed = {vm.vm_id for vm in self._state.listing.vms if vm.hall == hall}
        in_hall = decisions.base_fraction(
            listed,
            self._state.members.list_known(),
            self._state.answered_peers,
            self._config.vm_id,
        )
        branch = self._state.in_force.tree.branches.get(workspace)
        percent = branch.hall_percent if branch is not None else {}
        halls = self._state.seen_halls
        return in_hall * decisions.hall_fraction(hall, percent, halls)

    def _special(self, now_ms: float) -> Iterator[str]:
        """Yields the workspaces whose part is not the base."""
        yield from self._book.list_open_loans(now_ms)
        tree = self._state.in_force.tree
        for branch in tree.of_kind(kinds.Kind.WORKSPACE):
            if branch.hall_percent:
                yield branch.name
