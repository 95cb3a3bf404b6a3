"""Accounting records of entries and agents in the platform's store."""

import asyncio
import pathlib

import aiohttp
from click import testing

from cactusgauge import accounting, observability, scheduling
from cactusgauge.accounting import file_account_log
from cactusgauge.platform import export_command, store, store_log
from tests.unit.fleet import conftest as fleet_conftest
from tests.unit.platform import fake_store


async def test_accounts_of_entries_and_agents_agree(tmp_path: pathlib.Path) -> None:
    """Guards against work that only the entry or only the agent counts, also after the loss of a link."""
    entry = fleet_conftest.Entry("e", [])
    agents = [fleet_conftest.Agent(name, [entry.url]) for name in ("a", "b")]
    fake = fake_store.FakeStore()
    async with (
        fake_store.serve_app(fake, fleet_conftest.free_port()) as url,
        aiohttp.ClientSession() as session,
        fleet_conftest.running(entry, *agents),
    ):
        await fleet_conftest.until(lambda: sum(view.accepts_runs for view in entry.link_server.workers) == 2)
        for number in range(6):
            answer = await entry.submit(f"j{number}", tasks=8)
            assert answer is not None and answer.result is scheduling.JobResult.SUCCEEDED
            if number == 2:
                next(iter(entry.link_server._peers.values())).link.abort()  # type: ignore[union-attr]
        await asyncio.sleep(0.5)  # lets the pending reports and acknowledgements arrive
        parts = [("e", "entry", str(entry.link_server.incarnation), entry.link_server.take_accounts)]
        for agent in agents:
            parts.append((agent.name, "agent", str(agent.link_client.incarnation), agent.link_client.take_accounts))
        for name, role, incarnation, snapshot in parts:
            log = store_log.StoreLog(store.Store(session, url), incarnation)
            journal = observability.Journal(name, observability.Counters(), descriptor=-1)
            writer = accounting.AccountWriter(log, name, role, incarnation, snapshot, journal, 0.05)
            async with writer:
                await asyncio.sleep(0.2)
        path = tmp_path / "records"
        result = await asyncio.to_thread(testing.CliRunner().invoke, export_command.main, ["--store", url, str(path)])
        assert result.exit_code == 0, result.output
    ledger = await accounting.AccountLedger.read(file_account_log.FileAccountLog(path))
    assert accounting.Audit(ledger).findings == []
    totals = entry.link_server.take_accounts().pairs
    assert sum(pair.starts - pair.refused for pair in totals) >= 48
    assert sum(pair.run_us for pair in totals) >= 48 * 80_000
