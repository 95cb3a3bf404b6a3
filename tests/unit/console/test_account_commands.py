import json
import pathlib

import pytest
from click import testing

from cactusgauge import accounting, log_service
from cactusgauge.console import application, exit_codes
from emulator import cluster
from tests.unit.accounting import scenario as scenario_module


def run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(application.main, arguments)


@pytest.fixture
async def scenario(monkeypatch: pytest.MonkeyPatch) -> scenario_module.Scenario:
    scenario = scenario_module.Scenario(monkeypatch)
    for _ in range(4):
        scenario.run_tasks(5)
        await scenario.append()
    await scenario.stop()
    return scenario


def export(scenario: scenario_module.Scenario, path: pathlib.Path) -> str:
    records = [log_service.LogRecord(offset, data) for offset, data in enumerate(scenario.log.records)]
    path.write_bytes(b"".join(accounting.FileAccountLog.format_line(accounting.STREAM, each) for each in records))
    return str(path)


def test_bill_is_verified_from_the_records_alone(scenario: scenario_module.Scenario, tmp_path: pathlib.Path) -> None:
    """Guards against a bill that another party cannot recompute, and against accepting a changed bill."""
    records = export(scenario, tmp_path / "records")
    billed = run("usage", "--records", records, "--cost", "12.34", "--json")
    bill = json.loads(billed.stdout)
    assert [(line["workspace"], line["starts"], line["cents"]) for line in bill["lines"]] == [("cheese", 20, 1234)]
    path = tmp_path / "bill.json"
    path.write_text(billed.stdout)
    assert run("audit", "--records", records, "--bill", str(path)).exit_code == exit_codes.COMPLETE
    bill["lines"][0]["starts"] = 21
    path.write_text(json.dumps(bill))
    changed = run("audit", "--records", records, "--bill", str(path))
    assert changed.exit_code == exit_codes.FAILED
    assert "cheese: starts is 21 on the bill, 20 from the log" in changed.stdout


def test_audit_names_process_pair_and_period(scenario: scenario_module.Scenario, tmp_path: pathlib.Path) -> None:
    """Guards against audit findings that do not name their process, peer and period."""
    scenario.log.edit("agent", 2, at_s=5.0)
    result = run("audit", "--records", export(scenario, tmp_path / "records"))
    assert result.exit_code == exit_codes.FAILED
    assert "VIOLATION edited: agent (agent-incarnation)" in result.stdout
    assert "1 violations, 0 open findings" in result.stdout


@pytest.mark.parametrize("cost", ["x", "-1", "1.001", "NaN"])
def test_cost_must_be_an_amount(scenario: scenario_module.Scenario, tmp_path: pathlib.Path, cost: str) -> None:
    """Guards against a bill computed from a mistyped amount."""
    result = run("usage", "--records", export(scenario, tmp_path / "records"), "--cost", cost)
    assert result.exit_code == exit_codes.USAGE


def test_unreachable_log_is_reported_on_one_line() -> None:
    """Guards against a traceback, or an empty bill, during an outage of the log."""
    url = f"http://127.0.0.1:{cluster.free_port()}"
    result = run("usage", "--log-url", url)
    assert (result.exit_code, len(result.stderr.splitlines())) == (exit_codes.FAILED, 1)
    assert url in result.stderr


def test_file_that_is_no_export_is_a_usage_error(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback, or an audit without findings, for the wrong file."""
    path = tmp_path / "records"
    path.write_text("not an export\n")
    result = run("audit", "--records", str(path))
    assert result.exit_code == exit_codes.USAGE
    assert "is no exported accounting stream" in result.stderr
