"""All exceptions of the product; each message says what to do next."""

from oriolegate.result_codes import ResultCode


class OriolegateError(Exception):
    """Base of every error that the product raises on purpose.

    Attributes:
        code: The numbered result code.
        message: One sentence for the person who reads it.
    """

    code = ResultCode.BAD_REQUEST

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class SettingsError(OriolegateError):
    """Raised when settings at start are missing or out of range."""

    code = ResultCode.SETTINGS_INVALID


class CallerInputError(OriolegateError):
    """Raised when a caller's request can't be read."""

    code = ResultCode.BAD_REQUEST


class PlatformError(OriolegateError):
    """Raised when a call of the platform's object API fails."""

    code = ResultCode.PLATFORM_DOWN


class PeerMessageError(OriolegateError):
    """Raised when a peer sends what the peer protocol does not allow."""

    code = ResultCode.PEER_BAD_MESSAGE


class UpstreamMessageError(OriolegateError):
    """Raised when an upstream's answer does not follow its protocol."""

    code = ResultCode.UPSTREAM_FAILED


class MalformedEntryError(OriolegateError):
    """Raised when an object of the platform's store can't be used."""

    code = ResultCode.PLATFORM_BAD_ANSWER
