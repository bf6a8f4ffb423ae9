from importlib.resources import files

import click
import pytest
from click.testing import CliRunner

from corianderwall.app.main import main

SAMPLE = files("corianderwall.node").joinpath("sample.toml").read_text()


@pytest.fixture
def run():
    def run_command(*arguments):
        return CliRunner().invoke(main, [str(argument) for argument in arguments])

    return run_command


@pytest.fixture
def sample(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SAMPLE)
    return path


def list_leaves(command, words=()):
    if not isinstance(command, click.Group):
        return [words]
    return [
        leaf
        for name, child in command.commands.items()
        for leaf in list_leaves(child, (*words, name))
    ]


def test_the_program_has_its_commands():
    assert set(main.commands) == {"node", "check", "keys", "demo", "ctl"}


@pytest.mark.parametrize(
    "words", [leaf for leaf in list_leaves(main) if leaf != ("keys",)], ids=" ".join
)
def test_help_has_an_example_of_the_command(run, words):
    result = run(*words, "--help")
    assert result.exit_code == 0
    shown = " ".join(result.output.split())
    assert "Example: " in shown
    assert words[-1] in shown.split("Example: ", 1)[1]


def test_the_sample_is_checked_as_valid(run, sample):
    result = run("check", sample)
    assert result.exit_code == 0
    assert str(sample) in result.output


@pytest.mark.parametrize("command", ["check", "node"])
@pytest.mark.parametrize(
    ("found", "replaced", "key"),
    [
        ('zone = "midlands-a"\n', "", "host.zone"),
        ('name = "mid-a-01"', "name = 3", "host.name"),
        ("max_attempts = 3", "tries = 3", "calls.tries"),
    ],
    ids=["missing", "wrong type", "unknown"],
)
def test_a_settings_error_exits_with_2_and_names_file_and_key(
    run, sample, command, found, replaced, key
):
    assert found in SAMPLE
    sample.write_text(SAMPLE.replace(found, replaced))
    result = run(command, sample)
    assert result.exit_code == 2
    assert str(sample) in result.output
    assert key in result.output


def test_a_missing_settings_file_exits_with_2_and_is_named(run, tmp_path):
    missing = tmp_path / "missing.toml"
    result = run("check", missing)
    assert result.exit_code == 2
    assert str(missing) in result.output
