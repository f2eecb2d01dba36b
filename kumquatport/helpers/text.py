"""Text from outside, made safe to show."""

MAX_SHOWN_CHARS = 80


def shown(text: str) -> str:
    """Return the text shortened, with anything unprintable escaped."""
    kept = text[:MAX_SHOWN_CHARS]
    if kept.isprintable():
        return kept
    return ascii(kept)[1:-1]
