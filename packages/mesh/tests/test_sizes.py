from corianderwall.mesh.sizes import ResponseSizes


def test_the_mean_follows_the_newest_responses_of_each_route() -> None:
    sizes = ResponseSizes()
    assert sizes.estimate("r") == 0.0
    sizes.record("r", 1000)
    sizes.record("other", 10)
    assert (sizes.estimate("r"), sizes.estimate("other")) == (1000.0, 10.0)
    sizes.record("r", 2000)
    assert sizes.estimate("r") == 1200.0
    for _ in range(60):
        sizes.record("r", 2000)
    assert round(sizes.estimate("r")) == 2000
