"""Pairs of a log line: ``key=value key=value``."""

_CONSTANTS = {None: "null", True: "true", False: "false"}


def format_logfmt(fields: dict[str, object]) -> str:
    """Return ``key=value key=value``."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())


def _quoted(value: object) -> str:
    if value is None or isinstance(value, bool):
        return _CONSTANTS[value]
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in " \"'=\\"):
        return text
    # Imported here, as few of a daemon's first lines need quotes.
    import json

    return json.dumps(text, ensure_ascii=not text.isprintable())
