from typing import Any

import pytest

from corianderwall.traffic.fingerprint import compute_fingerprint


def make_fingerprint(**fields: Any) -> str:
    values: dict[str, Any] = {
        "caller": "s",
        "method": b"GET",
        "destination": b"h.example",
        "target": b"/a",
        "body": b"",
    }
    return compute_fingerprint(**(values | fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"caller": "t"},
        {"body": b"x"},
        {"method": b"PUT"},
        {"target": b"/a?b"},
        {"destination": b"i.example"},
        {"target": b"/ab", "body": b""},
    ],
)
def test_a_request_that_differs_has_another_fingerprint(fields: dict[str, Any]) -> None:
    assert make_fingerprint(**fields) != make_fingerprint()


def test_parts_that_join_to_the_same_bytes_have_different_fingerprints() -> None:
    assert make_fingerprint(target=b"/ab", body=b"c") != make_fingerprint(target=b"/a", body=b"bc")
