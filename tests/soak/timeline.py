"""Render an HTML page with a timeline of the faults and client responses of each run."""

from __future__ import annotations

from html import escape

from .runner import SoakResult

_WIDTH_PX, _LABELS_PX, _ROW_PX, _PLOT_PX = 1_000, 320, 18, 160
_STATUS_COLOURS = {200: "#2a7", 429: "#e90", 503: "#e90"}
_OTHER_COLOUR = "#d22"


def render_page(results: list[SoakResult]) -> str:
    """Return an HTML page with one timeline per run."""
    parts = ["<!doctype html><meta charset='utf-8'><title>Fault soak</title>"]
    for result in results:
        summary = "; ".join(result.violations) or "no invariant violated"
        parts.append(
            f"<h2>Seed {result.seed}</h2><p>{escape(summary)}</p>{_render_timeline(result)}"
        )
    return "\n".join(parts)


def _render_timeline(result: SoakResult) -> str:
    end_s = max([end for _, end, _ in result.answers] + [1.0])
    longest_s = max([end - begin for begin, end, _ in result.answers] + [0.1])
    height = _PLOT_PX + 30 + _ROW_PX * len(result.faults)

    def x(at_s: float) -> float:
        return _LABELS_PX + at_s / end_s * (_WIDTH_PX - _LABELS_PX - 10)

    shapes = [
        f"<text x='4' y='14'>response times by time of submission; top: {longest_s:.1f} s</text>",
    ]
    for begin, end, status in result.answers:
        y = _PLOT_PX - (end - begin) / longest_s * (_PLOT_PX - 20)
        colour = _STATUS_COLOURS.get(status, _OTHER_COLOUR)
        shapes.append(f"<circle cx='{x(begin):.1f}' cy='{y:.1f}' r='2.5' fill='{colour}'/>")
    for row, fault in enumerate(result.faults):
        y = _PLOT_PX + 20 + row * _ROW_PX
        width = max(2.0, x(fault.at_s + fault.duration_s) - x(fault.at_s))
        shapes.append(f"<text x='4' y='{y + 12}'>{escape(fault.text)}</text>")
        shapes.append(
            f"<rect x='{x(fault.at_s):.1f}' y='{y}' width='{width:.1f}' height='12' fill='#68b'/>"
        )
    return (
        f"<svg width='{_WIDTH_PX}' height='{height}' font-family='sans-serif' font-size='11'>"
        + "".join(shapes)
        + "</svg>"
    )
