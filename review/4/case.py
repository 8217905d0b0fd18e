"""Removes a key at the end of a storm of large configurations."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import rig  # noqa: E402

GATEWAYS = 3
# 110 idle routes, and two changes that add 390.
ROUTES = 890
CHANGES = 25
GAP_S = 0.06
REVOKE_MS = 5_000
APPLY_MS = 2_000
OLD_KEY = "key-that-is-removed"


def make_document(version: int, keys: list[str]) -> dict[str, object]:
    """Returns a configuration with many routes that nobody uses."""
    routes = [rig.make_route("notice", "notices")]
    for number in range(ROUTES):
        name = f"idle-route-{number:04d}"
        split = [{"service": "notices", "weight": 100}]
        route = rig.make_route(
            name,
            "notices",
            traffic_split=split,
            allow_anonymous=False,
            session_affinity=False,
            resumable=False,
        )
        routes.append(route)
    # An idle route that each change moves: the way that `idle` changes differ.
    routes[-1]["timeout-ms"] = 10_000 + version
    return rig.make_configuration(
        version, routes, ["notices"], {"w1": [rig.KEY], "w2": keys}
    )


async def answer(incoming: rig.Incoming, writer: asyncio.StreamWriter) -> None:
    """Runs a request."""
    await asyncio.sleep(0.02)
    fields = {
        "X-Attempt-Id": incoming.headers["x-attempt-id"],
        rig.SIGNATURE: "signed",
    }
    writer.write(rig.make_answer(200, b"answer", fields))


class Case:
    """State of the case.

    Attributes:
        removed_s: When the removal of the key was acknowledged.
        sent_s: When each request with the old key was sent.
        status: The status that it got.
    """

    def __init__(self, record: rig.Record) -> None:
        self.removed_s = float("inf")
        self.sent_s: dict[str, float] = {}
        self.status: dict[str, int] = {}
        self._record = record
        self._calls: set[asyncio.Future] = set()

    async def send_calls(self, gateways: list[rig.Gateway]) -> None:
        """Sends a request with the old key to each gateway, again and again."""
        number = 0
        while True:
            for gateway in gateways:
                number += 1
                call = asyncio.ensure_future(self._call(gateway, f"r{number}"))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(0.2)

    async def _call(self, gateway: rig.Gateway, request_id: str) -> None:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.port
        )
        self.sent_s[request_id] = time.monotonic()
        writer.write(rig.make_request(request_id, "/notice/1", key=OLD_KEY))
        got = await rig.read_answer(reader)
        writer.close()
        self.status[request_id] = got.status
        self._record.note(f"{request_id} at {gateway.host}: {got.status}")


async def change_settings(
    store: rig.Store, case: Case, record: rig.Record
) -> None:
    """Writes the storm, and last the configuration without the key."""
    version = 1
    if rig.IS_TROUBLED:
        for _ in range(CHANGES - 1):
            version += 1
            store.put("op/config", make_document(version, [OLD_KEY]))
            record.note(f"configuration {version} acknowledged")
            await asyncio.sleep(GAP_S)
    version += 1
    store.put("op/config", make_document(version, []))
    case.removed_s = time.monotonic()
    record.note(f"configuration {version} without the key acknowledged")


async def run(record: rig.Record, folder: pathlib.Path) -> int:
    """Runs the case; returns the exit status."""
    store = rig.Store()
    await store.start()
    replicas = [rig.Replica(f"i-{number}", answer) for number in range(3)]
    for replica in replicas:
        await replica.start()
        store.put_replica(replica, "notices")
    store.put("op/config", make_document(1, [OLD_KEY]))
    fleet = await rig.start_fleet(["hall-a"] * GATEWAYS, store, folder)
    case = Case(record)
    calls = asyncio.ensure_future(case.send_calls(fleet))
    try:
        await asyncio.sleep(2.0)
        if 200 not in case.status.values():
            record.note("the key was not accepted before its removal")
            return rig.NOT_RUN
        await change_settings(store, case, record)
        await asyncio.sleep(20.0)
    finally:
        calls.cancel()
        await rig.end_fleet(fleet)
    return judge(case, replicas, record)


def judge(case: Case, replicas: list[rig.Replica], record: rig.Record) -> int:
    """Returns BROKEN if a replica ran a request with the key too late."""
    late = [
        (case.sent_s[name] - case.removed_s, name)
        for replica in replicas
        for name in [each.headers["x-attempt-id"] for each in replica.arrivals]
        if case.sent_s[name] > case.removed_s + REVOKE_MS / 1000.0
    ]
    for since_s, name in sorted(late):
        record.note(f"{name} ran, sent {since_s:.3f} s after the removal")
    record.note(f"{len(late)} requests ran that were sent too late")
    return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, run))
