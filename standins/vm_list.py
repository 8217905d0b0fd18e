"""Fake of the platform's list of VMs and targets, which lags behind."""

import asyncio
import pathlib

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from standins import _private


class VmList:
    """The list; serves its state of `lag_ms` ago.

    Attributes:
        request_count: Number of list requests.
        lag_ms: Delay until a change is visible.
        is_frozen: Whether changes stay invisible.
    """

    def __init__(
        self,
        env: environment.Environment,
        vms: list[dict],
        targets: list[dict],
        lag_ms: float = 0.0,
    ) -> None:
        self.request_count = 0
        self.lag_ms = lag_ms
        self.is_frozen = False
        self._env = env
        self._vms = {row["id"]: row for row in vms}
        self._targets = {row["id"]: row for row in targets}
        self._version = 1
        self._snapshots = [(float("-inf"), self._encode())]
        self._frozen_body = b""

    def set_vm(self, vm_id: str, **fields: object) -> None:
        """Changes a VM's row; removes it if no fields are given."""
        self._update_row(self._vms, vm_id, fields)

    def set_target(self, target_id: str, **fields: object) -> None:
        """Changes a target's row; removes it if no fields are given."""
        self._update_row(self._targets, target_id, fields)

    def set_frozen(self, is_frozen: bool) -> None:
        """Freezes the served state, or unfreezes it."""
        self._frozen_body = self._find_visible() if is_frozen else b""
        self.is_frozen = is_frozen

    def _update_row(self, rows: dict, name: str, fields: dict) -> None:
        if fields:
            rows[name] = {**rows.get(name, {"id": name}), **fields}
        else:
            rows.pop(name, None)
        self._version += 1
        visible_ms = self._env.now_ms() + self.lag_ms
        self._snapshots.append((visible_ms, self._encode()))

    def _encode(self) -> bytes:
        document = {
            "version": self._version,
            "vms": list(self._vms.values()),
            "targets": list(self._targets.values()),
        }
        return orjson.dumps(document)

    def _find_visible(self) -> bytes:
        now_ms = self._env.now_ms()
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now_ms:
            del self._snapshots[0]
        return self._snapshots[0][1]

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers one HTTP request."""
        if incoming.path == "/admin/set":
            change = orjson.loads(incoming.body)
            setter = self.set_vm if "vm" in change else self.set_target
            name = change.get("vm") or change["target"]
            setter(name, **change.get("fields", {}))
            return message.make_json_response(200, {})
        self.request_count += 1
        body = self._frozen_body if self.is_frozen else self._find_visible()
        return message.Response(200, {"content-type": message.JSON_TYPE}, body)


async def serve(
    env: environment.Environment,
    address: environment.Address,
    vm_list: VmList,
) -> None:
    """Serves the list until cancelled."""
    handler = server.make_stream_handler(vm_list.handle, server.Limits())
    await env.serve(handler, address)
    await asyncio.Event().wait()


def main(*, listen: str, listing: pathlib.Path, lag_ms: float = 0.0) -> None:
    """Runs the fake VM list.

    Args:
        listen: Address to listen at (HOST:PORT).
        listing: JSON file with `vms` and `targets`.
        lag_ms: Delay until a change is visible.
    """
    env = environment.make_system_environment()
    rows = orjson.loads(listing.read_bytes())
    vm_list = VmList(env, rows["vms"], rows["targets"], lag_ms)
    _private.run_until_signal(
        serve(env, environment.parse_address(listen), vm_list)
    )


if __name__ == "__main__":
    cyclopts.run(main)
