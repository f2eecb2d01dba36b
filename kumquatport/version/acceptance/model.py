"""What acceptance hands back, and how it fails."""

import typing

from kumquatport import exceptions
from kumquatport.version import document


class DocumentInForce(typing.NamedTuple):
    """The document in force.

    Attributes:
        version: Version of the platform's object; 0 before the first.
        document: The document; empty before the first.
        value: Its bytes as stored.
    """

    version: int
    document: document.Document
    value: bytes


class Replacement(typing.NamedTuple):
    """One acceptance: what was in force before it and what is after it."""

    before: DocumentInForce
    after: DocumentInForce


class Accepted(typing.NamedTuple):
    """A document that took effect.

    Attributes:
        version: The version it got.
        identifier: Of the attempt that took effect.
        latest_version: The version in force when this was learned; higher
            when others were accepted on top meanwhile.
        replacement: For the audit; None when this call wrote nothing.
    """

    version: int
    identifier: str
    latest_version: int
    replacement: Replacement | None = None


class AuditEntry(typing.TypedDict):
    """What is kept about one acceptance.

    ``changes`` is None when the acceptor stopped before it wrote its entry,
    and a later acceptor filled it in from the document.
    """

    version: int
    base_version: int
    identifier: str
    operator: str
    comment: str
    submitted_s: float
    changes: list[str] | None


class AcceptanceConflictError(exceptions.VersionConflictError):
    """Another document took effect on the same base; this one did not.

    Attributes:
        in_force: The document in force, when it could be read.
        submitted: The document that was refused.
    """

    code = 'KQ-3004'

    def __init__(
        self, in_force: DocumentInForce, submitted: document.Document | None
    ) -> None:
        """Keep both documents.

        Args:
            in_force: What is in force now.
            submitted: What did not take effect.
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
        identifier: Of the attempt, to ask again.
        base_version: Version the attempt was made on.
    """

    code = 'KQ-3005'

    def __init__(self, identifier: str, base_version: int) -> None:
        """Keep what is needed to ask again.

        Args:
            identifier: Of the attempt.
            base_version: Version the attempt was made on.
        """
        super().__init__(
            f'not known yet whether {identifier} on {base_version} took effect'
        )
        self.identifier = identifier
        self.base_version = base_version


class GuardRailError(exceptions.KumquatportError):
    """The document has to be confirmed a second time.

    Attributes:
        concerns: Why.
    """

    code = 'KQ-3003'

    def __init__(self, concerns: tuple[document.Concern, ...]) -> None:
        """Keep the reasons.

        Args:
            concerns: At least one.
        """
        super().__init__(
            '; '.join(f'{one.service}: {one.reason}' for one in concerns)
        )
        self.concerns = concerns
