"""Metric names documented on the metrics page."""

import functools
import pathlib
import re

PAGE = pathlib.Path('docs/METRICS.md')
_FIRST_CELL = re.compile(r'^\| (`[^|]*) \|', re.MULTILINE)
_NAME = re.compile('`([^`]+)`')
# Parts in capitals are placeholders, for example of a client account or reason.
_PLACEHOLDER = re.compile('[A-Z]+')


def covers(name: str) -> bool:
    """Return whether a metric, without its prefix, is documented."""
    return any(pattern.fullmatch(name) for pattern in _name_patterns())


@functools.cache
def _name_patterns() -> tuple[re.Pattern[str], ...]:
    patterns = []
    for cell in _FIRST_CELL.findall(PAGE.read_text()):
        first = ''
        for name in _NAME.findall(cell):
            # Later names of a row may omit the prefix of the first name.
            first = first or name
            short = '.' not in name and '.' in first
            full = f'{first.rsplit(".", 1)[0]}.{name}' if short else name
            patterns.append(
                re.compile(_PLACEHOLDER.sub('[^.]+', re.escape(full)))
            )
    return tuple(patterns)
