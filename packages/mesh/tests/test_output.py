import asyncio
import os

from corianderwall.mesh.output import MAX_KEPT_BYTES, LineOutput


def test_lines_are_written_together_and_whole() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    output.write("one\n")
    output.write("two\n")
    output.write_kept()
    assert os.read(reader, 100) == b"one\ntwo\n"


def test_a_reader_that_does_not_keep_up_blocks_nothing_and_is_told_of_later() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    line = "x" * 1023 + "\n"
    for _ in range(3 * MAX_KEPT_BYTES // len(line)):
        output.write(line)
        output.write_kept()
    assert output.dropped > 0
    assert len(os.read(reader, 1 << 20)) % len(line) == 0


def test_a_reader_that_is_gone_stops_nothing() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    os.close(reader)
    output.write("one\n")
    output.write_kept()
    output.write("two\n")
    output.write_kept()
    assert output.dropped == 2
