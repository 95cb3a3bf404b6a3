from cactusgauge.runs import fencing_token


def test_token_follows_the_clock_of_the_worker() -> None:
    """Guards against a restarted agent whose requests the worker refuses, as its predecessor had a higher token."""
    token = fencing_token.FencingToken(2.5)
    assert token.value == 2500
    token.advance(4.0)
    assert token.value == 4000
    token.advance(1.0)
    assert token.value == 4001


def test_refused_token_is_exceeded_once() -> None:
    """Guards against a token that several refused requests, sent before the first refusal, raise again and again."""
    token = fencing_token.FencingToken(2.0)
    refused = token.value
    assert token.exceed(refused, None)
    assert token.value == 2 * refused
    assert not token.exceed(refused, 100.0)
    assert token.value == 2 * refused
    assert token.exceed(token.value, 100.0)
    assert token.value == 100_000


def test_token_stays_exact() -> None:
    """Guards against a token that JSON parsers round, so that the worker sees a lower one."""
    token = fencing_token.FencingToken(0.0)
    assert token.value == 1
    for _ in range(60):
        token.exceed(token.value, None)
    assert token.value == fencing_token.MAX_TOKEN
    token.advance()
    assert token.value == fencing_token.MAX_TOKEN
