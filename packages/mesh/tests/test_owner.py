from corianderwall.mesh.owner import ForwardedRequest


def make_request(request_id: bytes, host: bytes) -> ForwardedRequest:
    headers = [(b"host", host), (b"request-id", request_id)]
    return ForwardedRequest(request_id, b"GET", b"/a", headers)


def test_another_attempt_of_a_caller_has_the_same_fingerprint() -> None:
    first, second = make_request(b"q1", b"h.example"), make_request(b"q2", b"H.example")
    assert first.compute_fingerprint("s", b"x") == second.compute_fingerprint("s", b"x")


def test_the_same_target_at_another_host_has_another_fingerprint() -> None:
    first, second = make_request(b"q1", b"h.example"), make_request(b"q1", b"i.example")
    assert first.compute_fingerprint("s", b"x") != second.compute_fingerprint("s", b"x")
