import pytest

from tests.unit.accounting import world as world_module


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> world_module.World:
    return world_module.World(monkeypatch)
