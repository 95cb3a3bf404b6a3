"""Counts that one side keeps of the task messages between an entry incarnation and an agent incarnation."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import wire

NOT_RUN = "not_run"
MICROSECONDS_PER_MILLISECOND = 1000


class PairTotals(NamedTuple):
    """Cumulative counts; `peer` is the incarnation of the other side and `run_us` is in microseconds.

    Both sides count a message only when its sequence number makes it certain that it took effect: the receiver when it
    handles the message, the sender when the message is acknowledged. Records with the same message number therefore
    have the same counts.

    `assign_number` is the number of the last assign message that was counted and `starts` the number of tasks in all of
    them. `results_number` and `outcomes` are the same for results messages. `refused` counts the outcomes of tasks that
    did not run, and `run_us` is the run time of the others.
    """

    peer: str
    peer_name: str
    workspace: str
    assign_number: int
    starts: int
    results_number: int
    outcomes: int
    refused: int
    run_us: int


class PairAccount:
    """Counts that one side keeps of one pair."""

    __slots__ = ("assign_number", "outcomes", "refused", "results_number", "run_us", "starts")

    def __init__(self) -> None:
        self.assign_number = 0
        self.starts = 0
        self.results_number = 0
        self.outcomes = 0
        self.refused = 0
        self.run_us = 0

    def count_assign(self, number: int, starts: int) -> None:
        """Count an assign message that took effect."""
        self.assign_number = number
        self.starts += starts

    def count_results(self, number: int, outcomes: "abc.Sequence[wire.Outcome]") -> None:
        """Count a results message that took effect."""
        for outcome in outcomes:
            self.count_outcome(number, outcome.state != NOT_RUN, outcome.run_ms)
        self.results_number = number

    def count_outcome(self, number: int, has_run: bool, run_ms: float) -> None:
        """Count one outcome of a results message that took effect."""
        self.results_number = number
        self.outcomes += 1
        if has_run:
            self.run_us += round(run_ms * MICROSECONDS_PER_MILLISECOND)
        else:
            self.refused += 1

    def totals(self, peer: str, peer_name: str, workspace: str) -> PairTotals:
        """Return the counts for an accounting record."""
        return PairTotals(
            peer,
            peer_name,
            workspace,
            self.assign_number,
            self.starts,
            self.results_number,
            self.outcomes,
            self.refused,
            self.run_us,
        )
