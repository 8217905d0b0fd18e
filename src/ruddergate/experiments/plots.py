"""Reports of replays and slopes: a text table, and plots with matplotlib.

Slopes are figures by fleet size, as `standins/slopes.py` measures them.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import importlib.util
import pathlib
from typing import Any

import orjson

from ruddergate.experiments import summary as summaries

_SLOPES_FILE = "slopes.json"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Summary of one replay, read from its folder.

    Attributes:
        trace: Name of the trace file.
        policy: Routing policy.
        document: The whole summary.
    """

    trace: str
    policy: str
    document: dict


def write_report(folders: Sequence[pathlib.Path], out: pathlib.Path) -> str:
    """Writes report.txt and, with matplotlib, plots; returns the text."""
    out.mkdir(parents=True, exist_ok=True)
    slopes = [x for x in folders if (x / _SLOPES_FILE).exists()]
    runs = [_read_run(x) for x in folders if x not in slopes]
    text = _render_runs(runs) if runs else ""
    for folder in slopes:
        document = orjson.loads((folder / _SLOPES_FILE).read_bytes())
        text += _render_slopes(document)
        _plot_if_possible(functools.partial(_plot_slopes, document, out))
    if runs:
        _plot_if_possible(functools.partial(_plot_ttft, runs, out))
        _plot_if_possible(functools.partial(_plot_slowdown, runs, out))
    (out / "report.txt").write_text(text)
    return text


def _read_run(folder: pathlib.Path) -> Run:
    document = orjson.loads((folder / "summary.json").read_bytes())
    return Run(
        document.get("trace", folder.name), document.get("policy", ""), document
    )


def _render_runs(runs: Sequence[Run]) -> str:
    head = f"{'trace':<34} {'policy':<16} {'finished':>8} {'slowdown':>9}"
    lines = [head + "".join(f" {name:>9}" for name in summaries.LENGTHS)]
    for run in runs:
        cells = []
        for name in summaries.LENGTHS:
            row = run.document["by_length"].get(name, {})
            cells.append(f" {_format(row.get('ttft_p95_ms')):>9}")
        slowdown = _format(run.document.get("short_slowdown_p99"))
        finished = run.document["all"]["finished"]
        lines.append(
            f"{run.trace:<34} {run.policy:<16} {finished:>8} {slowdown:>9}"
            + "".join(cells)
        )
    return "\n".join(lines) + "\n"


def _render_slopes(document: dict) -> str:
    lines = [
        f"{'figure':<34} " + "".join(f"{x:>12}" for x in document["sizes"])
    ]
    for name, values in document["figures"].items():
        cells = "".join(f"{_format(value):>12}" for value in values)
        lines.append(f"{name:<34} {cells}")
    return "\n".join(lines) + "\n"


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.3g}"


def _plot_if_possible(plot: Callable[[Any], None]) -> None:
    if importlib.util.find_spec("matplotlib") is None:
        return
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    plot(plt)


def _plot_ttft(runs: Sequence[Run], out: pathlib.Path, plt: Any) -> None:  # noqa: ANN401
    figure, axes = plt.subplots(figsize=(8, 5))
    for run in runs:
        rows = run.document["by_length"]
        names = [name for name in summaries.LENGTHS if name in rows]
        values = [rows[name]["ttft_p95_ms"] for name in names]
        axes.plot(names, values, marker="o", label=f"{run.trace} {run.policy}")
    axes.set_yscale("log")
    axes.set_xlabel("prompt length (tokens, upper bound)")
    axes.set_ylabel("time to first token, p95 (ms)")
    axes.legend(fontsize=7)
    figure.savefig(out / "ttft_by_length.png", dpi=120)
    plt.close(figure)


def _plot_slowdown(runs: Sequence[Run], out: pathlib.Path, plt: Any) -> None:  # noqa: ANN401
    figure, axes = plt.subplots(figsize=(8, 5))
    by_policy: dict[str, list[tuple[str, float]]] = {}
    for run in runs:
        slowdown = run.document.get("short_slowdown_p99")
        if slowdown is not None:
            by_policy.setdefault(run.policy, []).append((run.trace, slowdown))
    for policy, points in sorted(by_policy.items()):
        points.sort()
        names = [name for name, _ in points]
        axes.plot(names, [y for _, y in points], marker="o", label=policy)
    axes.set_ylabel("slowdown of short prompts, p99")
    axes.tick_params(axis="x", labelrotation=30, labelsize=7)
    axes.legend()
    figure.tight_layout()
    figure.savefig(out / "slowdown_by_load.png", dpi=120)
    plt.close(figure)


def _plot_slopes(document: dict, out: pathlib.Path, plt: Any) -> None:  # noqa: ANN401
    figures = document["figures"]
    figure, axes = plt.subplots(len(figures), 1, figsize=(7, 3 * len(figures)))
    for axis, (name, values) in zip(axes, figures.items(), strict=True):
        axis.plot(document["sizes"], values, marker="o")
        axis.set_title(name, fontsize=9)
        axis.set_xlabel("nodes")
    figure.tight_layout()
    figure.savefig(out / "slopes.png", dpi=110)
    plt.close(figure)
