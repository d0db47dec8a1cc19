"""Formats log fields in logfmt: ``key=value key=value``."""

_CONSTANTS = {None: "null", True: "true", False: "false"}


def format_logfmt(fields: dict[str, object]) -> str:
    """Return the fields as ``key=value key=value``."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())


def _quoted(value: object) -> str:
    if value is None or isinstance(value, bool):
        return _CONSTANTS[value]
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in " \"'=\\"):
        return text
    # Imported on demand: a daemon's first log lines rarely need quoting, and the
    # import would slow down its start.
    import json

    return json.dumps(text, ensure_ascii=not text.isprintable())
