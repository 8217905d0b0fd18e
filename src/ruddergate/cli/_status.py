"""Shows an entry's status page for `ruddergatectl`."""

from ruddergate import environment
from ruddergate.http import client

_TIMEOUT_MS = 5_000.0


async def fetch(address: environment.Address) -> list[str] | str:
    """Returns the lines to print, or an error message."""
    env = environment.make_system_environment()
    request = client.make_json_request("GET", "/status")
    response = await client.fetch(env, address, request, _TIMEOUT_MS)
    if isinstance(response, client.Fault):
        return response.detail
    document = response.json()
    if not isinstance(document, dict) or "targets" not in document:
        return f"{address} is not an entry"
    targets = document.pop("targets")
    lines = [f"{name:<20} {value}" for name, value in document.items()]
    lines.append(
        f"{'target':<20} usable streams waiting_tokens held_tokens"
        " rate_limit/s own_share/s"
    )
    for row in targets:
        usable = "yes" if row["usable"] else "no"
        lines.append(
            f"{row['id']:<20} {usable:<6} {row['streams']:>7}"
            f" {row['waiting_tokens']:>14} {row['held_tokens']:>11}"
            f" {_format_rate(row.get('rate_limit_per_s')):>12}"
            f" {_format_rate(row.get('rate_limit_share_per_s')):>11}"
        )
    return lines


def _format_rate(rate_per_s: float | None) -> str:
    return "-" if rate_per_s is None else f"{rate_per_s:g}"
