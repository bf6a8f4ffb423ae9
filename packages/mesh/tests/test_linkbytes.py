from corianderwall.mesh.linkbytes import LinkBytes


def test_bytes_are_counted_by_purpose_and_by_zone() -> None:
    counted = LinkBytes("a")
    counted.count("request_bodies", "a", 10)
    counted.count("request_bodies", "b", 5)
    counted.count("request_bodies", "c", 6)
    counted.count_heads("b", [(b"name", b"value")], [])
    assert counted.totals == {
        ("request_bodies", False): 10,
        ("request_bodies", True): 11,
        ("call_heads", True): 73,
    }
