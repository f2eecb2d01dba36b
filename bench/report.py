"""Write a page with charts of the last run's figures to var/report."""

import pathlib
import sys
import typing

import matplotlib as mpl
from matplotlib import pyplot

from bench import figure, results, series

FOLDER: typing.Final = pathlib.Path('var/report')
PAGE: typing.Final = 'index.md'
TIME_SERIES_CHART: typing.Final = 'domains-by-second.png'
BAR_HEIGHT_INCHES: typing.Final = 0.3
MARGIN_INCHES: typing.Final = 1.0
WIDTH_INCHES: typing.Final = 10.0
EXIT_NO_FIGURES: typing.Final = 2


def main() -> int:
    """Write the page; return 2 if there are no figures yet."""
    groups = results.load()
    if not groups:
        sys.stderr.write(f'no figures in {results.FILE}; run: make bench\n')
        return EXIT_NO_FIGURES
    mpl.use('Agg')
    FOLDER.mkdir(parents=True, exist_ok=True)
    parts = [_section(name, group) for name, group in groups.items()]
    if series.draw(FOLDER / TIME_SERIES_CHART):
        parts += [
            '## A failure domain leaves and returns, by second',
            '',
            f'![by second]({TIME_SERIES_CHART})',
            '',
        ]
    page = FOLDER / PAGE
    page.write_text('\n'.join(['# Measurements', '', *parts]))
    sys.stdout.write(f'{page}\n')
    return 0


def _section(name: str, group: list[figure.Figure]) -> str:
    lines = [f'## {name}', '']
    bounded = [one for one in group if one.bound]
    if bounded:
        _chart(name, bounded)
        lines += [f'![{name}]({name}.png)', '']
    lines += ['| figure | value | unit | bound | ok |', '|---|---|---|---|---|']
    lines += [_row(one) for one in group]
    return '\n'.join([*lines, ''])


def _row(one: figure.Figure) -> str:
    bound = '' if one.bound is None else f'{one.bound:g}'
    ok = 'yes' if one.ok else '**no**'
    return f'| `{one.name}` | {one.value:g} | {one.unit} | {bound} | {ok} |'


def _chart(name: str, bounded: list[figure.Figure]) -> None:
    """Draw each value relative to its bound."""
    height = MARGIN_INCHES + BAR_HEIGHT_INCHES * len(bounded)
    drawing, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height))
    axes.barh(
        [one.name.removeprefix(f'{name}.') for one in bounded],
        [one.value / (one.bound or 1) for one in bounded],
        color=['tab:blue' if one.ok else 'tab:red' for one in bounded],
    )
    axes.axvline(1, color='black', linewidth=1)
    axes.invert_yaxis()
    axes.set_xlabel('share of the bound')
    drawing.tight_layout()
    drawing.savefig(FOLDER / f'{name}.png')
    pyplot.close(drawing)


if __name__ == '__main__':
    sys.exit(main())
