import pytest

from tests.unit.accounting import scenario as scenario_module


@pytest.fixture
def scenario(monkeypatch: pytest.MonkeyPatch) -> scenario_module.Scenario:
    return scenario_module.Scenario(monkeypatch)
