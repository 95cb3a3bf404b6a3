import pytest

from cactusgauge.platform import network_address


@pytest.mark.parametrize("text", ["10.0.0.1:80", "host-1.example:65535", "[::1]:1"])
def test_address(text: str) -> None:
    """Guards against refusing a usable address."""
    address = network_address.Address(text)
    assert f"{address.host}:{address.port}" == text


@pytest.mark.parametrize(
    "text",
    [
        "", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1",
        "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:8_0", "10.0.0.1:\u0668\u0660", "10.0.0.1:" + "9" * 5000, "a b:80",
        "[:80", "[]:80", "[::1:80", "[fe80::1%1]:80", "a..b:80", "a" * 64 + ":80", "a." * 200 + "a:80",
        "user@host:80", "host/path:80", "h\r\nX: y:80", "\ud800:80",
    ],
)  # fmt: skip
def test_text_that_names_no_address(text: str) -> None:
    """Guards against an address that makes every connection to it fail in an unexpected way."""
    with pytest.raises(ValueError, match="is expected"):
        network_address.Address(text)
