"""Errors of the console."""

from kumquatport import exceptions


class TokenError(exceptions.KumquatportError):
    """A cookie or form field is not signed for this use, or is too large."""

    code = 'KQ-6001'


class CrossSiteError(exceptions.KumquatportError):
    """A form was posted from another site, or without its token."""

    code = 'KQ-6002'


class SignInError(exceptions.KumquatportError):
    """Name and password do not match."""

    code = 'KQ-6003'


class TooManyAttemptsError(exceptions.KumquatportError):
    """Too many sign-ins failed; the next is accepted after a delay."""

    code = 'KQ-6004'


class UnknownActionError(exceptions.KumquatportError):
    """A form was posted with an action that its page does not support."""

    code = 'KQ-6005'
