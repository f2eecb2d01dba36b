"""Sanitizing of untrusted text for display."""

MAX_SANITIZED_CHARS = 80


def sanitize(text: str) -> str:
    """Return the text truncated, with unprintable characters escaped."""
    truncated = text[:MAX_SANITIZED_CHARS]
    if truncated.isprintable():
        return truncated
    return ascii(truncated)[1:-1]
