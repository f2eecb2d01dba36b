"""YAML parser that records the line number of every key."""

import typing

import yaml

from kumquatport import exceptions

KeyPath: typing.TypeAlias = tuple[str | int, ...]


class ParsedYaml(typing.NamedTuple):
    """Content of a YAML text and its line numbers.

    Attributes:
        content: Plain mappings, lists and scalars.
        lines: Line number, from 1, of each path of keys and list indices.
    """

    content: object
    lines: dict[KeyPath, int]


class _LineLoader(yaml.SafeLoader):
    """Safe loader that rejects aliases and duplicate keys.

    Aliases are rejected because a few lines of them can expand without bound.
    """

    def compose_node(
        self, parent: yaml.Node | None, index: object
    ) -> yaml.Node | None:
        if self.check_event(yaml.AliasEvent):
            raise yaml.MarkedYAMLError(
                problem='expected no alias (*)',
                problem_mark=self.peek_event().start_mark,
            )
        return super().compose_node(parent, index)  # type: ignore[arg-type]

    def flatten_mapping(self, node: yaml.MappingNode) -> None:
        _reject_duplicates(node)
        super().flatten_mapping(node)


def parse(text: str | bytes, file: str) -> ParsedYaml:
    """Parse one YAML document.

    Args:
        text: Text of the file; bytes are decoded as UTF-8 or UTF-16.
        file: File name for error messages.

    Returns:
        The plain content and the line number of each part.

    Raises:
        SettingsError: The text is not a single plain YAML document.
    """
    try:
        return _parse(text)
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        line = mark.line + 1 if mark else 0
        problem = err.problem or 'expected valid YAML'
        raise exceptions.SettingsError(file, line, '', problem) from err
    except (yaml.YAMLError, ValueError) as err:
        reason = 'expected readable YAML text'
        raise exceptions.SettingsError(file, 0, '', reason) from err
    except RecursionError as err:
        reason = 'expected less deeply nested YAML'
        raise exceptions.SettingsError(file, 0, '', reason) from err


def line_of(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """Return the line number of a path or of its nearest known parent."""
    for length in range(len(path), -1, -1):
        line = lines.get(path[:length])
        if line is not None:
            return line
    return 0


def _parse(text: str | bytes) -> ParsedYaml:
    loader = _LineLoader(text)
    try:
        return _construct(loader)
    finally:
        loader.dispose()


def _construct(loader: _LineLoader) -> ParsedYaml:
    node = loader.get_single_node()
    lines: dict[KeyPath, int] = {}
    if node is None:
        return ParsedYaml({}, lines)
    _record_lines(node, (), lines)
    return ParsedYaml(loader.construct_document(node), lines)


def _record_lines(
    node: yaml.Node, path: KeyPath, lines: dict[KeyPath, int]
) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            child_path = (*path, str(key.value))
            lines[child_path] = key.start_mark.line + 1
            _record_lines(child, child_path, lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _record_lines(child, (*path, index), lines)


def _reject_duplicates(node: yaml.MappingNode) -> None:
    seen: set[str] = set()
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            raise yaml.MarkedYAMLError(
                problem=f'duplicate key {name!r}, expected it once',
                problem_mark=key.start_mark,
            )
        seen.add(name)
