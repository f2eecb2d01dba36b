"""The names on the page of metrics."""

import functools
import pathlib
import re

PAGE = pathlib.Path('docs/METRICS.md')
_FIRST_CELL = re.compile(r'^\| (`[^|]*) \|', re.MULTILINE)
_NAME = re.compile('`([^`]+)`')
# Parts in capitals stand for any client account, class, reason and so on.
_PLACEHOLDER = re.compile('[A-Z]+')


def covers(name: str) -> bool:
    """Tell whether a metric, without its prefix, is on the page."""
    return any(known.fullmatch(name) for known in _name_patterns())


@functools.cache
def _name_patterns() -> tuple[re.Pattern[str], ...]:
    known = []
    for cell in _FIRST_CELL.findall(PAGE.read_text()):
        first = ''
        for name in _NAME.findall(cell):
            # Later names of a row may leave out what the first begins with.
            first = first or name
            short = '.' not in name and '.' in first
            full = f'{first.rsplit(".", 1)[0]}.{name}' if short else name
            known.append(re.compile(_PLACEHOLDER.sub('[^.]+', re.escape(full))))
    return tuple(known)
