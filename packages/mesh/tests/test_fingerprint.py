from typing import Any

import pytest

from corianderwall.mesh.fingerprint import compute_fingerprint
from corianderwall.mesh.owner import ForwardedRequest


def make_fingerprint(
    *, caller: str = "s", body: bytes = b"", request_id: bytes = b"q1", **fields: Any
) -> str:
    values: dict[str, Any] = {"method": b"GET", "target": b"/a", "host": b"h.example"} | fields
    headers = [(b"host", values.pop("host")), (b"request-id", request_id)]
    return compute_fingerprint(
        ForwardedRequest(request_id, headers=headers, **values), caller, body
    )


def test_another_attempt_of_a_caller_has_the_same_fingerprint() -> None:
    assert make_fingerprint(request_id=b"q1") == make_fingerprint(request_id=b"q2")
    assert make_fingerprint(host=b"H.example") == make_fingerprint()


@pytest.mark.parametrize(
    "fields",
    [
        {"caller": "t"},
        {"body": b"x"},
        {"method": b"PUT"},
        {"target": b"/a?b"},
        {"host": b"i.example"},
        {"target": b"/ab", "body": b""},
    ],
)
def test_a_request_that_differs_has_another_fingerprint(fields: dict[str, Any]) -> None:
    assert make_fingerprint(**fields) != make_fingerprint()


def test_parts_that_join_to_the_same_bytes_have_different_fingerprints() -> None:
    assert make_fingerprint(target=b"/ab", body=b"c") != make_fingerprint(target=b"/a", body=b"bc")
