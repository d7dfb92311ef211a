"""Errors for a configuration, a setting or a settings row that cannot be used."""

from __future__ import annotations

from pathlib import Path


class ConfigError(ValueError):
    """The configuration cannot be used; the message gives the reason in one line."""


class FrontFileError(ConfigError):
    """A key of the front file does not match the settings.

    The message is `PATH:LINE: KEY: REASON`, with the key as `keys` joined by dots.
    """

    def __init__(self, path: Path, line: int, keys: tuple[str, ...], reason: str) -> None:
        super().__init__(f"{path}:{line}: {'.'.join(keys)}: {reason}")
        self.path = path
        self.line = line
        self.keys = keys
        self.reason = reason


class SettingsError(ConfigError):
    """The settings do not have the expected form."""


class InvalidFieldError(SettingsError):
    """One field of the settings has an invalid value.

    Attributes:
        field: The full name of the field, for example `services[0].deadline`.
        value: The value that was read.
        reason: Why the value is rejected; the message has it after the field's name (and value).
        detail: The message after the field's name.
    """

    def __init__(self, field: str, value: object, reason: str, *, show_value: bool = False) -> None:
        self.field = field
        self.value = value
        self.reason = reason
        self.detail = f" = {value!r} {reason}" if show_value else f" {reason}"
        super().__init__(f"settings: {field}{self.detail}")


class RowRejectedError(ConfigError):
    """A settings row cannot be applied; the message is the reason, without the key."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(reason)
        self.key = key
        self.reason = reason
