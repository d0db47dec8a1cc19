"""Plain text tables for the measurement commands."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Table:
    """A titled table; all columns but the first are aligned to the right."""

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[object, ...]] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Append a row."""
        self.rows.append(cells)

    def __str__(self) -> str:
        cells = [
            self.columns,
            *(tuple(_format_cell(c) for c in row) for row in self.rows),
        ]
        widths = [max(len(row[i]) for row in cells) for i in range(len(self.columns))]
        lines = [
            "  ".join(
                cell.ljust(width) if i == 0 else cell.rjust(width)
                for i, (cell, width) in enumerate(zip(row, widths, strict=True))
            )
            for row in cells
        ]
        return "\n".join([self.title, *lines])


def _format_cell(cell: object) -> str:
    return f"{cell:.3f}" if isinstance(cell, float) else str(cell)
