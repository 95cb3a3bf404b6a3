"""Compares the bytes that the system sends to detect differences with the lower bound of set reconciliation.

Messages and records are encoded by the code of the system. Set reconciliation without shared context sends at least the
ids of the difference, here hashes of ID_BYTES, and a checksum that shows whether the sets are equal. The difference
digest of Eppstein et al. sends about CELLS_PER_DIFFERENCE cells per element of the difference. Before that, it sends an
estimate of the size of the difference, which is not counted here.
"""

import click

from cactusgauge import accounting, ids, wire

ID_BYTES = 8
CELLS_PER_DIFFERENCE = 1.5  # lowest overhead, reached with large differences; small ones need more
CELL_BYTES = ID_BYTES + 4 + 4  # sum of ids, sum of hashes, count
IN_FLIGHT = (0, 1, 8, 64)
TASKS_PER_PERIOD = (37, 370, 3700)  # starts at one agent in 1, 10 and 100 s at the target load
SEQUENCE_NUMBER = 1_000_000  # a sequence number as it is after some hours at 37 tasks/s


def _resume_bytes(codec: wire.FrameCodec) -> int:
    """Return the bytes that the two sequence numbers of a handshake add to its messages."""
    resume = len(codec.encode(wire.Resume(SEQUENCE_NUMBER, 8, True, 2))) - len(codec.encode(wire.Resume(0, 8, True, 2)))
    name, incarnation = ids.EntryName("entry-1"), ids.EntryIncarnation("0" * 16)
    welcomes = [wire.Welcome(wire.PROTOCOL_VERSION, name, incarnation, number, []) for number in (0, SEQUENCE_NUMBER)]
    return (
        resume + len(codec.encode(welcomes[1])) - len(codec.encode(welcomes[0])) + 2
    )  # a zero already takes one byte in each message


def _pair_bytes(tasks: int) -> int:
    """Return the bytes that one pair adds to an accounting record."""
    pair = accounting.PairTotals("0" * 16, "agent-1", "cheese", tasks, tasks, tasks, tasks, 0, tasks * 300_000)
    base = accounting.AccountRecord(
        process="entry-1",
        role="entry",
        incarnation="1" * 16,
        sequence=1,
        previous="",
        at_s=0.0,
        interval_s=10,
        final=False,
        rows=[],
        pairs=[],
    )
    return len(base.model_copy(update={"pairs": [pair]}).encode()) - len(base.encode())


def _format_row(case: str, size: int, difference: int, current_bytes: int) -> str:
    lower_bound = ID_BYTES * (difference + 1)
    digest_bytes = round(CELL_BYTES * CELLS_PER_DIFFERENCE * difference) + ID_BYTES
    return f"| {case} | {size} | {difference} | {current_bytes} | {lower_bound} | {digest_bytes} |"


@click.command()
def main() -> None:
    """Print the table of docs/design.md section 6."""
    codec = wire.FrameCodec()
    click.echo("| case | set | difference | present way, bytes | least of reconciliation | difference digest |")
    click.echo("|---|---|---|---|---|---|")
    for in_flight in IN_FLIGHT:
        for difference in sorted({0, min(1, in_flight), in_flight}):
            click.echo(_format_row("reconnect, tasks in flight", in_flight, difference, _resume_bytes(codec)))
    for tasks in TASKS_PER_PERIOD:
        for difference in (0, 1, 8):
            click.echo(_format_row("accounts of a pair, tasks of a period", tasks, difference, _pair_bytes(tasks)))


if __name__ == "__main__":
    main()
