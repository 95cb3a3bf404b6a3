"""The fencing token of an agent's requests to its worker."""

MAX_TOKEN = 2**53  # largest integer that every JSON parser represents exactly
MS_PER_S = 1000


class FencingToken:
    """A number that only rises; a worker refuses requests with a token lower than one that it has seen.

    It follows the worker's clock, so that it exceeds the tokens of earlier processes of the agent.
    """

    def __init__(self, clock_s: float) -> None:
        self._value = max(1, _at_clock(clock_s))

    @property
    def value(self) -> int:
        """The token for the next request."""
        return self._value

    def advance(self, clock_s: float = 0.0) -> None:
        """Raise the token, so that the requests that were sent before are refused once the worker has seen it."""
        self._value = min(max(self._value + 1, _at_clock(clock_s)), MAX_TOKEN)

    def exceed(self, refused: int, clock_s: float | None) -> bool:
        """Raise the token after a worker has refused the value `refused`; return whether this was still necessary.

        The refusal does not contain the highest token, which may come from the clock of an earlier incarnation.
        """
        if refused < self._value:
            return False
        self._value = min(max(self._value * 2, _at_clock(clock_s or 0.0)), MAX_TOKEN)
        return True


def _at_clock(clock_s: float) -> int:
    return int(clock_s * MS_PER_S)
