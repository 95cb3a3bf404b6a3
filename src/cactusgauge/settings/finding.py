"""Validation error of a settings file."""

from typing import NamedTuple


class Finding(NamedTuple):
    """An invalid setting: its location, its value and what is expected instead."""

    file: str
    line: int
    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.expected} (found {self.value})"
