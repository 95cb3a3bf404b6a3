"""One finding about a settings file."""

from typing import NamedTuple


class Finding(NamedTuple):
    """A wrong setting: where it stands, what it is and what is expected."""

    file: str
    line: int
    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.expected} (found {self.value})"
