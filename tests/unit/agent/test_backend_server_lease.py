import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import ids
from cactusgauge.agent import backend_server_lease
from tests.unit.agent import conftest

URLS = ("http://127.0.0.1:1", "http://127.0.0.1:2")
TTL_S = backend_server_lease.DEFAULT_TTL_S
ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("announce"), strategies.integers(0, 3), strategies.integers(0, 1)),
        strategies.tuples(strategies.just("leave"), strategies.integers(0, 3), strategies.just(0)),
        strategies.tuples(strategies.just("advance"), strategies.integers(0, 40), strategies.just(0)),
    ),
    max_size=25,
)


class _UncheckedLease(backend_server_lease.BackendServerLease):
    """Relies on a timer to end the lease; no timer runs while the process is suspended."""

    @property
    def valid_lease(self) -> backend_server_lease.Lease | None:
        """The lease, without a check of the time."""
        return self._lease


class _ForgettingLease(backend_server_lease.BackendServerLease):
    """Does not remember which leases have ended."""

    def grant_or_renew(
        self, name: str, url: str, lease_id: ids.LeaseId | None, granted_at: float | None, ttl_s: float = TTL_S
    ) -> backend_server_lease.Lease | None:
        """Grant a lease."""
        self._ended_ids.clear()
        return super().grant_or_renew(name, url, lease_id, granted_at, ttl_s)


def _check(lease_type: type[backend_server_lease.BackendServerLease]) -> None:
    """Compare with a reference model that records the expiry and the end of every lease."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(ACTIONS)
    def run(actions: list[tuple[str, int, int]]) -> None:
        clock, lease = conftest.Clock(), lease_type()
        granted: list[ids.LeaseId | None] = [None]
        granted_at: dict[ids.LeaseId, float] = {}
        expires: dict[ids.LeaseId, float] = {}
        ended: set[ids.LeaseId] = set()
        for action, choice, url in actions:
            chosen = granted[-1 - choice % len(granted)]
            before = clock.call(lambda: lease.valid_lease)
            if action == "advance":
                clock.advance(choice / 10)
            elif action == "leave":
                left = clock.call(lambda chosen=chosen: lease.release(chosen or ids.LeaseId("")))  # type: ignore[misc]
                if left:
                    assert chosen is not None
                    ended.add(chosen)
            else:
                grant = granted_at.get(chosen) if chosen is not None else None
                new = clock.call(
                    lambda chosen=chosen, url=url, grant=grant: lease.grant_or_renew("s", URLS[url], chosen, grant)  # type: ignore[misc]
                )
                assert (new is None) == (chosen in ended), "an ended lease was renewed"
                if new is not None:
                    if before is not None and before.id != new.id:
                        ended.add(before.id)
                    assert new.id not in ended
                    if new.id == chosen and grant is not None:
                        expires[new.id] = max(expires[new.id], grant + TTL_S)
                    expires.setdefault(new.id, clock.loop.now)
                    granted_at[new.id] = clock.loop.now
                    granted.append(new.id)
            valid = clock.call(lambda: lease.valid_lease)
            if valid is not None:
                assert clock.loop.now < expires[valid.id], "an expired lease is used"
                assert valid.id not in ended

    run()


def test_no_lease_is_valid_after_its_end() -> None:
    """Guards against starts under an expired or released lease, also after a suspension or a delayed renewal."""
    _check(backend_server_lease.BackendServerLease)


@pytest.mark.parametrize(
    ("lease_type", "violation"),
    [(_UncheckedLease, "expired lease is used"), (_ForgettingLease, "ended lease was renewed")],
)
def test_naive_leases_are_used_after_their_end(
    lease_type: type[backend_server_lease.BackendServerLease], violation: str
) -> None:
    """Shows that the check above detects faulty leases."""
    with pytest.raises(AssertionError, match=violation):
        _check(lease_type)
