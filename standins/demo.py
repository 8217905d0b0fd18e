"""Demonstrates the complete request path with real processes on loopback."""

import json
import pathlib
import sys

from standins import answers
from standins import processes

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_KEY = "demo-bezigrad"
_SHORT = "Water is dripping from the ceiling in flat 12."
_LONG = "Minutes of the owners' assembly, article by article. " * 2_000
_TRACEPARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"


def main() -> int:
    """Runs the demo; returns 0 if every answer was correct, else 1."""
    run = processes.Processes(_EXAMPLES / "stanovanjski-signal.json")
    try:
        return _show(run)
    finally:
        print("Stopping gracefully.")
        run.close()


def _show(run: processes.Processes) -> int:
    print("Starting 3 engines, 1 service, the platform and 2 VMs.")
    pools = {f"engine-{n}": "model-pool" for n in (1, 2, 3)}
    vms = {"vm-1": "hall-bezigrad", "vm-2": "hall-vic"}
    run.start_platform({**pools, "service-1": "estate-app"}, vms)
    for name in vms:
        run.start_vm(name, stop_lag_ms="200", traces_to="console")
    run.wait_ready()
    results = [
        _show_prompt(run, "vm-1", "repairs", _SHORT, stream=False),
        _show_prompt(run, "vm-2", "archives", _LONG, stream=True),
        _show_service(run, "vm-2"),
        _show_keyed(run),
    ]
    for name in vms:
        _show_status(run, name)
    _stop_entries(run, vms)
    _show_spans(run, "vm-2")
    print(
        "All answers are correct."
        if all(results)
        else "SOME ANSWERS ARE WRONG."
    )
    return 0 if all(results) else 1


def _make_headers(workload: str) -> dict[str, str]:
    return {
        "authorization": f"Bearer {_KEY}",
        "ruddergate-workload": workload,
        "traceparent": _TRACEPARENT,
    }


def _show_prompt(
    run: processes.Processes, vm: str, workload: str, prompt: str, stream: bool
) -> bool:
    document = {"prompt": prompt, "max_tokens": 8, "stream": stream}
    reply = processes.send_request(
        run.entries[vm],
        "POST",
        "/v1/completions",
        _make_headers(workload),
        json.dumps(document).encode(),
    )
    text = _parse_stream(reply) if stream else _parse_text(reply)
    form = "streamed" if stream else "plain"
    size = len(prompt)
    print(f"{vm} {workload} ({form}, {size} bytes): {reply.status} {text!r}")
    return text == answers.make_answer(prompt, 8)


def _parse_text(reply: processes.Reply) -> str:
    if reply.status != 200:
        return reply.body.decode()
    return reply.json()["choices"][0]["text"]


def _parse_stream(reply: processes.Reply) -> str:
    events = reply.body.decode().split("\n\n")
    if "data: [DONE]" not in events:
        return reply.body.decode()
    documents = [
        json.loads(event.removeprefix("data: "))
        for event in events
        if event.startswith("data: {")
    ]
    return "".join(each["choices"][0]["text"] for each in documents)


def _show_service(run: processes.Processes, vm: str) -> bool:
    body = '{"flat": 12, "fault": "burst pipe"}'
    reply = processes.send_request(
        run.entries[vm],
        "POST",
        "/services/plumbers/dispatch",
        _make_headers("plumbers"),
        body.encode(),
    )
    print(f"{vm} plumbers: {reply.status} {reply.body.decode()}")
    return reply.json() == {"answer": answers.make_service_answer(body)}


def _show_keyed(run: processes.Processes) -> bool:
    """Sends a request with the same ticket to both VMs; it must run once."""
    ticket = processes.send_request(
        run.entries["vm-1"], "POST", "/v1/tickets", _make_headers("")
    ).json()["ticket"]
    headers = {**_make_headers("plumbers"), "ruddergate-ticket": ticket}
    bodies = [
        processes.send_request(
            port, "POST", "/services/plumbers/dispatch", headers, b"once"
        ).body
        for port in run.entries.values()
    ]
    print(f"One ticket at both VMs: {[body.decode() for body in bodies]}")
    return bodies[0] == bodies[1]


def _show_status(run: processes.Processes, vm: str) -> None:
    status = processes.send_request(run.entries[vm], "GET", "/status").json()
    shown = ("vm", "hall", "revision", "view_age_ms", "agent_connected")
    row = {key: status[key] for key in shown}
    print(f"Status: {row}, {len(status['targets'])} targets")


def _stop_entries(run: processes.Processes, vms: dict[str, str]) -> None:
    for name in vms:
        run.signal(f"entry {name}", 15)
    for name in vms:
        print(
            f"Entry of {name} exited with status {run.wait(f'entry {name}')}."
        )


def _show_spans(run: processes.Processes, vm: str) -> None:
    log = run.read_log(f"entry {vm}")
    spans = [
        line.strip(' ",') for line in log.splitlines() if "span_id" in line
    ]
    print(f"Spans of {vm}: {len(spans)}, first spans: {spans[:2]}")


if __name__ == "__main__":
    sys.exit(main())
