"""Markdown formatting of figures and tables for the capacity page."""

import re
import textwrap
from collections.abc import Callable
from dataclasses import dataclass

from tools.capacity_parts.model import Model

_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))


@dataclass(frozen=True)
class Figure:
    """One line of a role's table.

    :param name: quantity in the first column.
    :param unit: ``B``, ``B/s``, ``1/s``, ``s``, ``core`` or empty for a number.
    :param value: computes the value from a model.
    :param source: names of the slopes used, separated by spaces.
    :param mechanism: design choice that determines the value.
    :param limit: required upper limit, or None.
    """

    name: str
    unit: str
    value: Callable[[Model], float]
    source: str
    mechanism: str
    limit: float | None = None

    def exceeded(self, model: Model) -> bool:
        """Whether the value is above its limit."""
        return self.limit is not None and self.value(model) > self.limit


def fmt(value: float, unit: str) -> str:
    """Format a value with three significant digits and its unit."""
    if unit == "core":
        return f"{100 * value:.3g}% of a core"
    if unit == "s" and 0 < value < 1e-3:
        return f"{1e6 * value:.3g} µs"
    if unit == "s" and 0 < value < 1:
        return f"{1000 * value:.3g} ms"
    for factor, prefix in _PREFIXES:
        if unit.startswith("B") and abs(value) >= factor:
            return f"{value / factor:.3g} {prefix}{unit}"
    number = f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return f"{number} {unit}".strip().replace(" 1/s", "/s")


def role_table(figures: list[Figure], models: list[Model]) -> str:
    """Return a Markdown table of figures, with a column for each site."""
    sites = " | ".join(m.site.name for m in models)
    lines = [f"| figure | {sites} | limit | mechanism | slopes |"]
    lines.append("| --- |" + " ---: |" * (len(models) + 1) + " --- | --- |")
    for figure in figures:
        values = " | ".join(fmt(figure.value(m), figure.unit) for m in models)
        limit = "" if figure.limit is None else fmt(figure.limit, figure.unit)
        names = ", ".join(f"`{n}`" for n in figure.source.split())
        cells = (figure.name, values, limit, figure.mechanism, names)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plain_table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "| --- " * len(columns) + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def wrap_paragraphs(page: str) -> str:
    """Wrap paragraphs and list items; leave tables and headings as they are."""
    return "\n\n".join(map(_wrap, page.strip().split("\n\n"))) + "\n"


def _wrap(block: str) -> str:
    if block.lstrip().startswith(("|", "#")):
        return block.strip()
    items = re.split(r"^(?=- )", block.strip(), flags=re.MULTILINE)
    return "\n".join(
        textwrap.fill(
            " ".join(item.split()),
            88,
            subsequent_indent="  " if item.startswith("- ") else "",
            break_long_words=False,
            break_on_hyphens=False,
        )
        for item in items
        if item.strip()
    )
