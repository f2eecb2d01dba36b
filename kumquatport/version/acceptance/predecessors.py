"""History of accepted attempts that each document carries.

Each document lists the latest attempts that took effect before it, each with
its base version. Exactly one write can replace a version, so an attempt whose
base version was replaced by another attempt never took effect.
"""

import typing

from kumquatport.version import document
from kumquatport.version.acceptance import model
from kumquatport.version.document import const as document_const


class Acceptance(typing.NamedTuple):
    """An attempt that took effect.

    Attributes:
        version: Version that it created.
        base_version: Version that it replaced.
        identifier: Identifier of the attempt.
    """

    version: int
    base_version: int
    identifier: str


def known_acceptances(in_force: model.DocumentInForce) -> list[Acceptance]:
    """Return the acceptances that the document lists, newest first."""
    current = in_force.document
    found = [
        Acceptance(
            in_force.version, current['base_version'], current['identifier']
        )
    ]
    for predecessor in current['predecessors']:
        found.append(
            Acceptance(
                found[-1].base_version,
                predecessor['base_version'],
                predecessor['identifier'],
            )
        )
    return found


def find_accepted(
    in_force: model.DocumentInForce, identifier: str
) -> model.Accepted | None:
    """Return the acceptance of an attempt, or None if it is not listed."""
    for acceptance in known_acceptances(in_force):
        if acceptance.identifier == identifier:
            return model.Accepted(
                acceptance.version, identifier, in_force.version
            )
    return None


def is_base_superseded(
    in_force: model.DocumentInForce, base_version: int
) -> bool:
    """Return whether another write is known to have replaced the base version.

    Only meaningful for attempts that ``find_accepted`` does not find.
    """
    if in_force.version == base_version:
        return False
    if in_force.version == base_version + 1:
        return True
    return any(
        acceptance.base_version == base_version
        for acceptance in known_acceptances(in_force)
    )


def next_predecessors(
    in_force: model.DocumentInForce,
) -> list[document.Predecessor]:
    """Return the predecessor list for the next document."""
    current = in_force.document
    if in_force.version == 0:
        return []
    newest: document.Predecessor = {
        'base_version': current['base_version'],
        'identifier': current['identifier'],
    }
    kept = current['predecessors'][: document_const.MAX_PREDECESSORS - 1]
    return [newest, *kept]
