"""The page of a run: a timeline of faults and of what the clients saw, as a picture."""

from __future__ import annotations

from html import escape

from .play import Verdict

_WIDTH, _LEFT, _ROW, _PLOT = 1_000, 320, 18, 160
_COLOURS = {200: "#2a7", 429: "#e90", 503: "#e90"}
_OTHER = "#d22"


def draw_page(verdicts: list[Verdict]) -> str:
    """Return an HTML page with one picture for each run."""
    parts = ["<!doctype html><meta charset='utf-8'><title>Fault soak</title>"]
    for verdict in verdicts:
        result = "; ".join(verdict.broken) or "no promise broken"
        parts.append(f"<h2>Seed {verdict.seed}</h2><p>{escape(result)}</p>{_draw(verdict)}")
    return "\n".join(parts)


def _draw(verdict: Verdict) -> str:
    end_s = max([end for _, end, _ in verdict.answers] + [1.0])
    longest_s = max([end - begin for begin, end, _ in verdict.answers] + [0.1])
    height = _PLOT + 30 + _ROW * len(verdict.faults)

    def x(at_s: float) -> float:
        return _LEFT + at_s / end_s * (_WIDTH - _LEFT - 10)

    shapes = [
        f"<text x='4' y='14'>answers by the time of sending; top: {longest_s:.1f} s</text>",
    ]
    for begin, end, status in verdict.answers:
        y = _PLOT - (end - begin) / longest_s * (_PLOT - 20)
        colour = _COLOURS.get(status, _OTHER)
        shapes.append(f"<circle cx='{x(begin):.1f}' cy='{y:.1f}' r='2.5' fill='{colour}'/>")
    for row, fault in enumerate(verdict.faults):
        y = _PLOT + 20 + row * _ROW
        width = max(2.0, x(fault.at_s + fault.for_s) - x(fault.at_s))
        shapes.append(f"<text x='4' y='{y + 12}'>{escape(fault.text)}</text>")
        shapes.append(
            f"<rect x='{x(fault.at_s):.1f}' y='{y}' width='{width:.1f}' height='12' fill='#68b'/>"
        )
    return (
        f"<svg width='{_WIDTH}' height='{height}' font-family='sans-serif' font-size='11'>"
        + "".join(shapes)
        + "</svg>"
    )
