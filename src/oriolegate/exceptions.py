"""All exceptions of the product; each message says how to correct the error."""

from oriolegate.result_codes import ResultCode


class OriolegateError(Exception):
    """Base class of the exceptions of the product.

    Attributes:
        code: Numbered result code.
        message: One sentence for users.
    """

    code = ResultCode.BAD_REQUEST

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class SettingsError(OriolegateError):
    """Raised when settings are missing or invalid at start."""

    code = ResultCode.SETTINGS_INVALID


class CallerInputError(OriolegateError):
    """Raised when a caller's request can't be parsed."""

    code = ResultCode.BAD_REQUEST


class PlatformError(OriolegateError):
    """Raised when a call to the platform's object API fails."""

    code = ResultCode.PLATFORM_DOWN


class PeerMessageError(OriolegateError):
    """Raised when a peer's message violates the peer protocol."""

    code = ResultCode.PEER_BAD_MESSAGE


class UpstreamMessageError(OriolegateError):
    """Raised when an upstream's answer violates the upstream protocol."""

    code = ResultCode.UPSTREAM_FAILED


class MalformedEntryError(OriolegateError):
    """Raised when an object in the platform's store is malformed."""

    code = ResultCode.PLATFORM_BAD_ANSWER
