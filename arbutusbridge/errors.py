"""Exception classes whose messages state a remedy."""

from __future__ import annotations


class ArbutusbridgeError(Exception):
    """Base class of all errors that the package raises itself.

    Attributes:
      remedy: What the reader can do about the error, in one sentence.
    """

    kind = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} Remedy: {remedy}")
        self.remedy = remedy


class SettingsError(ArbutusbridgeError):
    """A settings, register or rules file is not valid."""

    kind = "settings"


class PublishConflictError(ArbutusbridgeError):
    """Another version was published since the one that was edited."""

    kind = "publish_conflict"


class PlatformUnavailableError(ArbutusbridgeError):
    """The platform or an instance gave no usable reply."""

    kind = "platform_unavailable"


class ProtocolError(ArbutusbridgeError):
    """Received bytes do not follow the expected protocol."""

    kind = "protocol"


class UnknownMessageError(ArbutusbridgeError):
    """A peer of a later build sent a message that this one does not know."""

    kind = "unknown_message"
