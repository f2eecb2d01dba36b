"""What a document tells about the ones accepted before it.

Each document names the latest attempts that took effect before it, each with
the version it was made on. Exactly one write can follow a version, so an
attempt whose base was followed by another one never took effect.
"""

import typing

from kumquatport.version import document
from kumquatport.version.acceptance import model
from kumquatport.version.document import const as document_const


class Acceptance(typing.NamedTuple):
    """One acceptance.

    Attributes:
        version: The version it got.
        base_version: The version it was made on.
        identifier: Of the attempt.
    """

    version: int
    base_version: int
    identifier: str


def known_acceptances(in_force: model.DocumentInForce) -> list[Acceptance]:
    """Return the acceptances that the document in force knows, newest first."""
    current = in_force.document
    found = [
        Acceptance(
            in_force.version, current['base_version'], current['identifier']
        )
    ]
    for row in current['predecessors']:
        found.append(
            Acceptance(
                found[-1].base_version, row['base_version'], row['identifier']
            )
        )
    return found


def find_accepted(
    in_force: model.DocumentInForce, identifier: str
) -> model.Accepted | None:
    """Return the acceptance of an attempt, if the lineage has it."""
    for step in known_acceptances(in_force):
        if step.identifier == identifier:
            return model.Accepted(step.version, identifier, in_force.version)
    return None


def is_base_superseded(
    in_force: model.DocumentInForce, base_version: int
) -> bool:
    """Tell whether it is certain that another write followed the base.

    Meaningful for attempts that the lineage does not have.
    """
    if in_force.version == base_version:
        return False
    if in_force.version == base_version + 1:
        return True
    return any(
        step.base_version == base_version
        for step in known_acceptances(in_force)
    )


def next_predecessors(
    in_force: model.DocumentInForce,
) -> list[document.Predecessor]:
    """Return the predecessors of a document that follows the one in force."""
    current = in_force.document
    if in_force.version == 0:
        return []
    newest: document.Predecessor = {
        'base_version': current['base_version'],
        'identifier': current['identifier'],
    }
    kept = current['predecessors'][: document_const.MAX_PREDECESSORS - 1]
    return [newest, *kept]
