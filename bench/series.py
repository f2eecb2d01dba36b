"""Chart of service quality per second while a failure domain is out."""

import json
import pathlib
import typing

from matplotlib import pyplot

FILE: typing.Final = pathlib.Path('var/bench/domains.json')
SIZE_INCHES: typing.Final = (10.0, 6.0)
MARK_LABELS: typing.Final = ('failure domain out', 'back')


def draw(target: pathlib.Path) -> bool:
    """Draw the time series of the last run; return whether there is one.

    Args:
        target: Image file to write.
    """
    if not FILE.exists():
        return False
    content = json.loads(FILE.read_text())
    seconds = content['seconds']
    at = [one['at'] for one in seconds]
    drawing, (rates, latency) = pyplot.subplots(
        2, 1, sharex=True, figsize=SIZE_INCHES
    )
    rates.plot(at, [one['answered'] for one in seconds], label='answered')
    rates.plot(at, [one['failed'] for one in seconds], label='failed')
    rates.set_ylabel('requests a second')
    latency.plot(at, [one['p99_ms'] for one in seconds], color='tab:green')
    latency.set_ylabel('p99, ms')
    latency.set_xlabel('seconds')
    for axes in (rates, latency):
        axes.set_ylim(bottom=0)
        for mark in content['marks'][:-1]:
            axes.axvline(mark, color='black', linestyle=':')
    for mark, label in zip(content['marks'], MARK_LABELS):
        rates.text(mark, 0, label, rotation=90, verticalalignment='bottom')
    rates.legend()
    drawing.tight_layout()
    drawing.savefig(target)
    pyplot.close(drawing)
    return True
