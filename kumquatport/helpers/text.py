"""Text from outside, made safe to show."""

MAX_SANITIZED_CHARS = 80


def sanitize(text: str) -> str:
    """Return the text shortened, with anything unprintable escaped."""
    kept = text[:MAX_SANITIZED_CHARS]
    if kept.isprintable():
        return kept
    return ascii(kept)[1:-1]
