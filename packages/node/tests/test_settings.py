from importlib.resources import files
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import fields

from corianderwall.model.settings import SettingsError, describe
from corianderwall.node.settings import SECTIONS, parse_node_settings

SAMPLE = files("corianderwall.node").joinpath("sample.toml").read_text()
SETTINGS_PAGE = Path(__file__).parents[3] / "docs" / "SETTINGS.md"


def read_problems(text: str) -> dict[str, str]:
    with pytest.raises(SettingsError) as caught:
        parse_node_settings(text.encode(), "node.toml")
    return {problem.key: problem.expected for problem in caught.value.problems}


def test_the_sample_is_valid():
    loaded = parse_node_settings(SAMPLE.encode(), "sample.toml")
    assert loaded.build_host(7).locality.zone == "midlands-a"
    assert loaded.build_key_ring().public in loaded.build_key_ring().accepted


def test_all_problems_are_reported_at_once():
    text = SAMPLE.replace('name = "mid-a-01"', "name = 3").replace("max_attempts = 3", "tries = 3")
    text = text.replace('region = "midlands"\n', "") + "\n[surplus]\n"
    assert set(read_problems(text)) == {"host.name", "host.region", "calls.tries", "surplus"}


def test_a_missing_key_is_reported_with_the_expected_value():
    problems = read_problems(SAMPLE.replace('zone = "midlands-a"\n', ""))
    assert problems == {"host.zone": "missing; expected availability zone of this host"}


def test_two_listeners_on_one_address_contradict_each_other():
    problems = read_problems(SAMPLE.replace("127.0.0.1:8081", "127.0.0.1:8080"))
    assert problems == {"host.call_address": "expected another address than peer_address"}


def test_operators_with_the_same_token_contradict_each_other_without_the_token():
    pair = '{ a = "sixteen-characters", b = "sixteen-characters" }'
    text = SAMPLE.replace('{ example = "replace-this-example-token" }', pair)
    problems = read_problems(text)
    assert set(problems) == {"operators.tokens"}
    assert "sixteen" not in str(problems)


@pytest.mark.parametrize("seed", ["no-address", "a@127.0.0.1", "a@127.0.0.1:99999"])
def test_a_malformed_seed_is_reported(seed):
    problems = read_problems(SAMPLE.replace("mid-a-02@127.0.0.2:8081", seed))
    assert set(problems) == {"mesh.seeds"}


def test_a_malformed_key_is_reported_without_the_key():
    secret = SAMPLE.split("secret_key = '")[1].split("'")[0]
    problems = read_problems(SAMPLE.replace(secret, secret[:-1]))
    assert set(problems) == {"mesh.secret_key"}
    assert secret[:-1] not in str(problems)


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_random_bytes_are_refused_as_settings(data):
    with pytest.raises(SettingsError):
        parse_node_settings(data, "node.toml")


def test_the_settings_page_has_every_key_with_its_help_line():
    page = SETTINGS_PAGE.read_text()
    for table, section in SECTIONS.items():
        for field in fields(section):
            assert f"| `{table}.{field.name}` | {describe(field)} |" in page
