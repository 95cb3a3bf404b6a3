"""Exports the accounting records from the platform's store to a file."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cactusgauge.platform import export_command

if __name__ == "__main__":
    export_command.main()
