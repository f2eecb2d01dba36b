"""Failures of the console."""

from kumquatport import exceptions


class TokenError(exceptions.KumquatportError):
    """A cookie or field was not signed by this system, or has expired."""

    code = 'KQ-6001'


class CrossSiteError(exceptions.KumquatportError):
    """A form was posted by another site, or without its token."""

    code = 'KQ-6002'


class SignInError(exceptions.KumquatportError):
    """Name and password do not match."""

    code = 'KQ-6003'


class TooManyAttemptsError(exceptions.KumquatportError):
    """Sign-ins failed too often; the next has to wait."""

    code = 'KQ-6004'


class UnknownActionError(exceptions.KumquatportError):
    """A form was posted with an action that the page does not have."""

    code = 'KQ-6005'
