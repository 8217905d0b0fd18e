"""Engines read a long prompt while a gateway stops, and streams pause.

The streams of all callers pause for 1.2 s, as engines write no tokens while
they read a long prompt. The engines are sound and then go on. Callers wait for
two seconds for the next event.
"""

import asyncio
import pathlib
import signal

from review import harness

_LIMIT_S = 60.0
_KEY = "n2ctnfzs989anu6wsjnb"
_CALLERS = 24
_ENGINES = 4
_EVENTS = 30
_FIRST_S = 0.1
_PAUSE_S = 0.05
# The engines write nothing for this long.
_SILENCE_S = 1.2
# After the callers have sent their requests.
_STOP_AFTER_S = 0.1
_SILENT_AFTER_S = 0.3
_SETTLE_S = 1.0


class _Case:
    """The state of one run."""

    def __init__(self, record: harness.Record) -> None:
        self._record = record
        self._store = harness.Store(record)
        self._replicas: list[harness.Replica] = []
        self._stopped_s = float("inf")
        self._violations: list[str] = []
        # Set while the engines write.
        self._is_writing = asyncio.Event()
        self._is_writing.set()

    async def run(self) -> list[str]:
        """Runs the case; returns what broke the rule."""
        await self._start_replicas()
        route = {
            **harness.make_archive_route(),
            "timeout-ms": 10_000,
            "target-latency-ms": 300,
            "gap_aim_ms": 200,
        }
        self._store.put_configuration(
            harness.make_configuration(
                1, [route], [harness.make_engine_service()], {"hule930": [_KEY]}
            )
        )
        async with harness.start_gateways(2, self._store, self._record) as all_:
            await asyncio.sleep(_SETTLE_S)
            calls = [
                asyncio.create_task(self._call(number, all_[0]))
                for number in range(_CALLERS)
            ]
            if harness.is_troubled():
                await self._disturb(all_[0])
            await asyncio.gather(*calls)
        for each in self._replicas:
            each.stop()
        return self._violations

    async def _disturb(self, gateway: harness.Gateway) -> None:
        """Stops a gateway, and lets the engines read a long prompt."""
        await asyncio.sleep(_STOP_AFTER_S)
        self._stopped_s = self._record.now_s()
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(_SILENT_AFTER_S - _STOP_AFTER_S)
        self._record.note("engines begin to read a long prompt")
        self._is_writing.clear()
        await asyncio.sleep(_SILENCE_S)
        self._is_writing.set()
        self._record.note("engines write again")
        await gateway.wait()
        took_s = self._record.now_s() - self._stopped_s
        self._record.note(f"{gateway.name} ended {took_s:.2f} s after SIGTERM")

    async def _start_replicas(self) -> None:
        await self._store.start()
        respond = harness.make_stream_responder(
            _EVENTS, _FIRST_S, _PAUSE_S, self._is_writing
        )
        for number in range(_ENGINES):
            replica = harness.Replica(
                f"i-{number}c02de080",
                harness.ENGINE_SERVICE,
                respond,
                self._store,
                self._record,
            )
            self._replicas.append(replica)
            await replica.start()

    async def _call(self, number: int, gateway: harness.Gateway) -> None:
        connection = await harness.open_connection(
            gateway.host, gateway.ports.callers
        )
        attempt_id = f"{number:016x}"
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Model": "m",
            "X-Token-Usage": "3000,1380",
            "X-Prefix-Hash": f"5c1e07a2:40,{attempt_id}:2960",
            "X-Deadline-Ms": "10000",
            "X-Api-Key": _KEY,
        }
        sent_s = self._record.now_s()
        self._record.note(f"caller sends {attempt_id}")
        answer = await connection.exchange(
            "POST", "/lohu930/2f", headers, b"x" * 1_200
        )
        ended_s = self._record.now_s()
        state = "complete" if answer.is_complete else "not complete"
        self._record.note(
            f"caller has {answer.status or 'no answer'} to {attempt_id}, "
            f"{len(answer.body)} bytes, {state}, after {ended_s - sent_s:.2f} s"
        )
        connection.close()
        if not answer.is_complete:
            self._judge(attempt_id, sent_s, ended_s)

    def _judge(self, attempt_id: str, sent_s: float, ended_s: float) -> None:
        """Applies LOST to a request that ended without a complete answer.

        Without a SIGTERM, no connection may end like that.
        """
        if not harness.is_troubled():
            self._violations.append(f"LOST: {attempt_id}, without a SIGTERM")
            return
        has_run = any(
            run.attempt_id == attempt_id
            for each in self._replicas
            for run in each.runs
        )
        since_stop_s = ended_s - self._stopped_s
        is_in_window = since_stop_s <= harness.GRACE_S + 1.0
        # The rule excuses what is still at work in the last sixth of the grace.
        is_excused = since_stop_s >= harness.GRACE_S * 5.0 / 6.0
        if has_run and is_in_window and not is_excused:
            self._violations.append(
                f"LOST: {attempt_id} was passed on to a replica, and its "
                f"connection ended {ended_s - sent_s:.2f} s after it was sent, "
                f"{since_stop_s:.2f} s after SIGTERM, without a complete answer"
            )


async def _run(record: harness.Record) -> list[str]:
    return await _Case(record).run()


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, _run, _LIMIT_S)
