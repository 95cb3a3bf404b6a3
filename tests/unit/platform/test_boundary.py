"""Only the adapter package uses the names of the platform."""

import ast
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parents[3] / "src" / "cactusgauge"
ADAPTER = SOURCE / "platform"
OUTSIDE = sorted(path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents)

# Names of the platform's fields and calls, which are unclear without knowledge of the platform.
WIRE_NAMES = (
    "expires_ms",
    "ack_index",
    "born",
    "estimate_ms",
    "anti_affinity",
    "max_hold_ms",
    "far_x",
    "retry_ms",
    "run-start",
    "log-append",
    "keyed.",
    "slack_factor_ms",
    "mem_mb",
)


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.relative_to(SOURCE)))
def test_core_does_not_import_the_adapter(path: pathlib.Path) -> None:
    """Guards against core code that depends on the adapter of one deployment."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        assert not any(name.startswith("cactusgauge.platform") for name in names)


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.relative_to(SOURCE)))
def test_core_does_not_use_platform_names(path: pathlib.Path) -> None:
    """Guards against names of the platform in core code."""
    text = path.read_text()
    assert [name for name in WIRE_NAMES if name in text] == []
