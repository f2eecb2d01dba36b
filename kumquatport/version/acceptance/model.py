"""Results and errors of document acceptance."""

import typing

from kumquatport import exceptions
from kumquatport.version import document


class DocumentInForce(typing.NamedTuple):
    """The document in force.

    Attributes:
        version: Version of the platform's object; 0 if none was accepted yet.
        document: The document; empty if none was accepted yet.
        value: The stored bytes.
    """

    version: int
    document: document.Document
    value: bytes


class Replacement(typing.NamedTuple):
    """The documents in force before and after an acceptance."""

    before: DocumentInForce
    after: DocumentInForce


class Accepted(typing.NamedTuple):
    """A document that took effect.

    Attributes:
        version: Version that the document got.
        identifier: Identifier of the attempt that took effect.
        latest_version: Version in force when the outcome was read; higher if
            other documents have been accepted since.
        replacement: Input of the audit log; None if this call wrote nothing.
    """

    version: int
    identifier: str
    latest_version: int
    replacement: Replacement | None = None


class AuditEntry(typing.TypedDict):
    """Audit entry of an acceptance.

    ``changes`` is None if the accepting process stopped before it wrote the
    entry, and a later one rebuilt the entry from the document.
    """

    version: int
    base_version: int
    identifier: str
    operator: str
    comment: str
    submitted_s: float
    changes: list[str] | None


class AcceptanceConflictError(exceptions.VersionConflictError):
    """Another document took effect on the same base version; this one did not.

    Attributes:
        in_force: The document in force.
        submitted: The rejected document; None if the caller gave none.
    """

    code = 'KQ-3004'

    def __init__(
        self, in_force: DocumentInForce, submitted: document.Document | None
    ) -> None:
        """Store both documents.

        Args:
            in_force: The document in force.
            submitted: The document that did not take effect.
        """
        super().__init__(
            f'version {in_force.version} of {in_force.document["operator"]} '
            'is in force'
        )
        self.in_force = in_force
        self.submitted = submitted


class AcceptanceUnknownError(exceptions.OutcomeUnknownError):
    """Whether the document took effect is not known yet.

    Attributes:
        identifier: Identifier of the attempt, for a later query.
        base_version: Base version of the attempt.
    """

    code = 'KQ-3005'

    def __init__(self, identifier: str, base_version: int) -> None:
        """Store the parameters of a later query.

        Args:
            identifier: Identifier of the attempt.
            base_version: Base version of the attempt.
        """
        super().__init__(
            f'not known yet whether {identifier} on {base_version} took effect'
        )
        self.identifier = identifier
        self.base_version = base_version


class GuardRailError(exceptions.KumquatportError):
    """The document has to be confirmed a second time.

    Attributes:
        concerns: Reasons why it has to be confirmed.
    """

    code = 'KQ-3003'

    def __init__(self, concerns: tuple[document.Concern, ...]) -> None:
        """Store the concerns.

        Args:
            concerns: Reasons for the confirmation, at least one.
        """
        super().__init__(
            '; '.join(
                f'{concern.service}: {concern.reason}' for concern in concerns
            )
        )
        self.concerns = concerns
