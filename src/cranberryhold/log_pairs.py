"""Pairs of a log line: ``key=value key=value``."""

import json


def format_pairs(fields: dict[str, object]) -> str:
    """Return ``key=value key=value``."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())


def _quoted(value: object) -> str:
    if value is None or isinstance(value, bool):
        return json.dumps(value)
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in " \"'=\\"):
        return text
    return json.dumps(text, ensure_ascii=not text.isprintable())
