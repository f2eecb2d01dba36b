"""Storage for the figures of the last run, one JSON object per line."""

import json
import pathlib
import typing

from bench import figure

FILE: typing.Final = pathlib.Path('var/bench.jsonl')
FIELD_MEASUREMENT: typing.Final = 'measurement'

Groups = dict[str, list[figure.Figure]]


def encode(measured: figure.Figure) -> str:
    """Encode a figure as one line of JSON."""
    return json.dumps(measured._asdict())


def load(file: pathlib.Path = FILE) -> Groups:
    """Return the last run's figures by benchmark; empty without a run."""
    groups: Groups = {}
    if not file.exists():
        return groups
    for line in file.read_text().splitlines():
        entry = json.loads(line)
        group = groups.setdefault(entry.pop(FIELD_MEASUREMENT), [])
        group.append(figure.Figure(**entry))
    return groups


def save(groups: Groups, file: pathlib.Path = FILE) -> None:
    """Replace the figures of the last run."""
    file.parent.mkdir(parents=True, exist_ok=True)
    entries = [
        {FIELD_MEASUREMENT: name, **one._asdict()}
        for name, group in groups.items()
        for one in group
    ]
    file.write_text(''.join(f'{json.dumps(entry)}\n' for entry in entries))
