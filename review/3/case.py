"""A gateway gets SIGTERM while callers use their connections again.

Each caller has a stream under way when the SIGTERM comes, and sends its next
request on the same connection as soon as the stream has ended: some a second
stream, others a lookup that must not run twice.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import pathlib
import signal

from review import harness

_LIMIT_S = 60.0
_KEY = "n2ctnfzs989anu6wsjnb"
# An archive review: 17 events, with pauses below the objective of 800 ms.
_EVENTS = 17
_FIRST_S = 0.5
_PAUSE_S = 0.5
_STREAM_S = _FIRST_S + (_EVENTS - 1) * _PAUSE_S
# When the first streams of the two groups of callers end, after SIGTERM.
_STREAM_GROUP_END_S = tuple(3.4 + 0.1 * number for number in range(6))
_LOOKUP_GROUP_END_S = tuple(7.4 + 0.02 * number for number in range(10))
# SIGTERM comes this long after the first stream was sent.
_LEAD_S = _STREAM_S - _STREAM_GROUP_END_S[0]
# A request sent later than this after SIGTERM must not be cut.
_LATE_S = 3.0
# Time for the gateways to learn of the replicas.
_SETTLE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    """A caller.

    Attributes:
        name: Its name, with which the ids of its requests begin.
        starts_s: When it sends its first stream, after the first caller.
        sends_lookup: Whether its second request is a lookup.
    """

    name: str
    starts_s: float
    sends_lookup: bool


class _Case:
    """The state of one run."""

    def __init__(self, record: harness.Record) -> None:
        self._record = record
        self._store = harness.Store(record)
        self._replicas: list[harness.Replica] = []
        self._stopped_s = float("inf")
        self._violations: list[str] = []

    async def run(self) -> list[str]:
        """Runs the case; returns what broke the rule."""
        await self._start_replicas()
        self._store.put_configuration(
            harness.make_configuration(
                1,
                [harness.make_archive_route(), harness.make_lookup_route()],
                [harness.make_engine_service(), harness.make_plain_service()],
                {"hule930": [_KEY]},
            )
        )
        async with harness.start_gateways(2, self._store, self._record) as all_:
            await asyncio.sleep(_SETTLE_S)
            stop_at_s = self._record.now_s() + _LEAD_S
            calls = [
                asyncio.create_task(self._call(each, all_[0]))
                for each in _make_callers()
            ]
            await asyncio.sleep(stop_at_s - self._record.now_s())
            self._stopped_s = self._record.now_s()
            if harness.is_troubled():
                all_[0].send_signal(signal.SIGTERM)
                status = await all_[0].wait()
                took_s = self._record.now_s() - self._stopped_s
                self._record.note(
                    f"{all_[0].name} ended with status {status}, "
                    f"{took_s:.2f} s after SIGTERM"
                )
            await asyncio.gather(*calls)
        for each in self._replicas:
            each.stop()
        return self._violations

    async def _start_replicas(self) -> None:
        await self._store.start()
        stream = harness.make_stream_responder(_EVENTS, _FIRST_S, _PAUSE_S)
        responders = {
            harness.ENGINE_SERVICE: stream,
            harness.PLAIN_SERVICE: harness.respond_plain,
        }
        for service, respond in responders.items():
            for number in range(4):
                replica = harness.Replica(
                    f"i-{number}-{service}",
                    service,
                    respond,
                    self._store,
                    self._record,
                )
                self._replicas.append(replica)
                await replica.start()

    async def _call(self, caller: _Caller, gateway: harness.Gateway) -> None:
        """Sends both requests on one connection, if it stays open."""
        await asyncio.sleep(caller.starts_s)
        connection = await harness.open_connection(
            gateway.host, gateway.ports.callers
        )
        await self._send_stream(connection, f"{caller.name}00000001")
        if connection.is_reusable():
            send = (
                self._send_lookup if caller.sends_lookup else self._send_stream
            )
            await send(connection, f"{caller.name}00000002")
        connection.close()

    async def _send_stream(
        self, connection: harness.CallerConnection, attempt_id: str
    ) -> None:
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Model": "m",
            "X-Token-Usage": "3000,782",
            "X-Prefix-Hash": f"5c1e07a2:40,{attempt_id}:2960",
            "X-Deadline-Ms": "15000",
            "X-Api-Key": _KEY,
        }
        await self._send(
            connection, "/lohu930/2f", attempt_id, headers, b"x" * 1_200
        )

    async def _send_lookup(
        self, connection: harness.CallerConnection, attempt_id: str
    ) -> None:
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "4000",
            "X-Api-Key": _KEY,
        }
        await self._send(connection, "/puxa403/2f", attempt_id, headers, b"x")

    async def _send(
        self,
        connection: harness.CallerConnection,
        target: str,
        attempt_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        sent_s = self._record.now_s()
        self._record.note(f"caller sends {attempt_id}, POST {target}")
        answer = await connection.exchange("POST", target, headers, body)
        ended_s = self._record.now_s()
        state = "complete" if answer.is_complete else "not complete"
        closes = answer.headers.get("connection", "") == "close"
        self._record.note(
            f"caller has {answer.status or 'no answer'} to {attempt_id}, "
            f"{len(answer.body)} bytes, {state}, after {ended_s - sent_s:.2f} s"
            f"{', with Connection: close' if closes else ''}"
        )
        if not answer.is_complete:
            self._judge(attempt_id, sent_s, ended_s)

    def _judge(self, attempt_id: str, sent_s: float, ended_s: float) -> None:
        """Applies LOST to a request that ended without a complete answer.

        Without a SIGTERM, no connection may end like that.
        """
        if not harness.is_troubled():
            self._violations.append(f"LOST: {attempt_id}, without a SIGTERM")
            return
        since_stop_s = sent_s - self._stopped_s
        has_run = any(
            run.attempt_id == attempt_id
            for each in self._replicas
            for run in each.runs
        )
        is_in_window = ended_s <= self._stopped_s + harness.GRACE_S + 1.0
        if has_run and is_in_window and since_stop_s > _LATE_S:
            self._violations.append(
                f"LOST: {attempt_id} was sent {since_stop_s:.2f} s after "
                "SIGTERM, was passed on to a replica, and its connection "
                f"ended {ended_s - sent_s:.2f} s later without a complete "
                "answer"
            )


def _make_callers() -> Sequence[_Caller]:
    """Returns the callers of both groups."""
    groups = ((_STREAM_GROUP_END_S, False), (_LOOKUP_GROUP_END_S, True))
    return [
        _Caller(
            f"{int(sends_lookup):04x}{number:04x}",
            ends_s - _STREAM_GROUP_END_S[0],
            sends_lookup,
        )
        for ends, sends_lookup in groups
        for number, ends_s in enumerate(ends)
    ]


async def _run(record: harness.Record) -> list[str]:
    return await _Case(record).run()


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, _run, _LIMIT_S)
