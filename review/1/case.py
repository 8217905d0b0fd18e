"""The operator removes API keys one after the other, until none is left."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib

from review import harness

_LIMIT_S = 60.0
_KEYS: Mapping[str, str] = {
    "hule930": "n2ctnfzs989anu6wsjnb",
    "bovi112": "k7rmq3xw2zt0f5yh1cda",
}
# No configuration ever holds this one.
_UNKNOWN_KEY = "u4p8e1v6s9b3g0j2d5wl"
_REQUESTS_PER_KEY = 5
# After the bound, so that clocks and scheduling don't matter.
_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A request of a caller, and its answer."""

    attempt_id: str
    key: str
    sent_s: float
    status: int


def _make_configuration(
    version: int, tenants: Mapping[str, Sequence[str]]
) -> dict[str, object]:
    return harness.make_configuration(
        version,
        [harness.make_lookup_route()],
        [harness.make_plain_service()],
        tenants,
    )


class _Case:
    """The state of one run."""

    def __init__(self, record: harness.Record) -> None:
        self._record = record
        self._store = harness.Store(record)
        self._removed_s: dict[str, float] = {}
        self._sent: list[_Sent] = []
        self._replicas: list[harness.Replica] = []

    async def run(self) -> list[str]:
        """Runs the case; returns what broke the rule."""
        await self._store.start()
        self._replicas = [
            harness.Replica(
                f"i-{number}f3a91c2",
                harness.PLAIN_SERVICE,
                harness.respond_plain,
                self._store,
                self._record,
            )
            for number in range(3)
        ]
        for each in self._replicas:
            await each.start()
        self._publish(1, _KEYS)
        async with harness.start_gateways(2, self._store, self._record) as all_:
            await asyncio.sleep(1.0)
            await self._send_all(all_)
            self._check_calm()
            kept = dict(_KEYS)
            for version, name in enumerate(_KEYS, 2):
                if harness.is_troubled():
                    del kept[name]
                self._publish(version, kept)
                await asyncio.sleep(harness.REVOKE_MS / 1_000.0 + _MARGIN_S)
                await self._send_all(all_)
        for each in self._replicas:
            each.stop()
        return self._find_violations()

    def _publish(self, version: int, kept: Mapping[str, str]) -> None:
        """Publishes the tenants, with the keys that they still hold."""
        tenants = {name: [kept[name]] if name in kept else [] for name in _KEYS}
        acknowledged_s = self._store.put_configuration(
            _make_configuration(version, tenants)
        )
        for name, key in _KEYS.items():
            if name not in kept:
                self._removed_s.setdefault(key, acknowledged_s)

    async def _send_all(self, gateways: Sequence[harness.Gateway]) -> None:
        """Sends a few requests with each key to each gateway."""
        for gateway in gateways:
            for key in (*_KEYS.values(), _UNKNOWN_KEY):
                for _ in range(_REQUESTS_PER_KEY):
                    await self._send(gateway, key)

    async def _send(self, gateway: harness.Gateway, key: str) -> None:
        attempt_id = f"{len(self._sent):016x}"
        connection = await harness.open_connection(
            gateway.host, gateway.ports.callers
        )
        sent_s = self._record.now_s()
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "4000",
            "X-Api-Key": key,
        }
        answer = await connection.exchange("POST", "/puxa403/2f", headers)
        connection.close()
        self._sent.append(_Sent(attempt_id, key, sent_s, answer.status))
        self._record.note(
            f"{gateway.name} answers {answer.status} to {attempt_id} "
            f"with key {key}, sent at {sent_s:.3f}"
        )

    def _check_calm(self) -> None:
        """Checks that keys matter before any is removed."""
        expected = {
            each.status == (401 if each.key == _UNKNOWN_KEY else 200)
            for each in self._sent
        }
        if expected != {True}:
            raise harness.CannotRunError("the calm phase was not served")

    def _find_violations(self) -> list[str]:
        """Returns the requests that ran and must not."""
        ran = {run.attempt_id for each in self._replicas for run in each.runs}
        slack_s = harness.REVOKE_MS / 1_000.0
        violations = []
        for each in self._sent:
            if each.attempt_id not in ran:
                continue
            removed_s = self._removed_s.get(each.key, float("inf"))
            if each.sent_s > removed_s + slack_s:
                violations.append(
                    f"CONFIG: {each.attempt_id} ran, sent "
                    f"{each.sent_s - removed_s:.1f} s after the "
                    "acknowledgement that removed its key"
                )
            if each.key == _UNKNOWN_KEY:
                violations.append(
                    f"ROUTE: {each.attempt_id} ran with a key that no "
                    "configuration ever held"
                )
        return violations


async def _run(record: harness.Record) -> list[str]:
    return await _Case(record).run()


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, _run, _LIMIT_S)
