"""Server for requests of other agents."""

import asyncio

from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import feed_server
from ruddergate.agent import gossip_task
from ruddergate.agent import share_task
from ruddergate.messages import fleet_view
from ruddergate.messages import gossip
from ruddergate.messages import listing_request
from ruddergate.messages import quota_loan
from ruddergate.messages import tree_request
from ruddergate.telemetry import logs
from ruddergate.wire import codec
from ruddergate.wire import frames


class PeerServer:
    """Serves connections from other agents, with one reply per request.

    Attributes:
        total_bytes: Bytes exchanged on connections that peers opened.
    """

    def __init__(
        self,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        gossip_: gossip_task.GossipTask,
        shares: share_task.ShareTask,
    ) -> None:
        self.total_bytes = 0
        self._config = config
        self._state = state
        self._gossip_task = gossip_
        self._share_task = shares
        self._log = logs.make_logger("peers")

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one peer until its connection closes."""
        stream = frames.FrameStream(reader, writer, self._config.peer_key)
        try:
            if await stream.greet() is not None:
                return
            while True:
                bytes_before = stream.sent_bytes + stream.received_bytes
                request = await stream.receive()
                if isinstance(request, frames.Closed):
                    if request.detail:
                        self._log.warning(
                            "Closing the connection of a peer: {}.",
                            request.detail,
                        )
                    return
                reply = self._handle(request)
                if reply is None:
                    return
                await stream.send(reply)
                bytes_after = stream.sent_bytes + stream.received_bytes
                self.total_bytes += bytes_after - bytes_before
        finally:
            stream.close()

    def _handle(self, request: codec.Message) -> codec.Message | None:
        match request:
            case gossip.Gossip():
                self._gossip_task.receive_digest(request)
                return self._gossip_task.make_digest()
            case tree_request.TreeRequest():
                return feed_server.make_tree_parts(self._state, request.digests)
            case listing_request.ListingRequest():
                return fleet_view.FleetView(
                    self._state.listing,
                    min(self._state.listing_age_ms(), 1e12),
                    self._state.settled_ms(),
                )
            case quota_loan.QuotaLoanRequest():
                return self._share_task.handle_loan_request(request)
            case _:
                self._log.warning(
                    "Closing the connection of a peer: unexpected message."
                )
                return None
