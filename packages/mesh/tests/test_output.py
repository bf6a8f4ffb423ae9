import asyncio
import os

from corianderwall.mesh.output import MAX_BUFFERED_BYTES, LineOutput


def test_lines_are_written_in_one_batch() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    output.write("one\n")
    output.write("two\n")
    output.write_buffered()
    assert os.read(reader, 100) == b"one\ntwo\n"


def test_a_slow_reader_does_not_block_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    line = "x" * 1023 + "\n"
    for _ in range(3 * MAX_BUFFERED_BYTES // len(line)):
        output.write(line)
        output.write_buffered()
    assert output.dropped > 0
    assert len(os.read(reader, 1 << 20)) % len(line) == 0


def test_lines_are_dropped_and_counted_if_the_reader_is_gone() -> None:
    reader, writer = os.pipe()
    output = LineOutput(writer, asyncio.get_event_loop())
    os.close(reader)
    output.write("one\n")
    output.write_buffered()
    output.write("two\n")
    output.write_buffered()
    assert output.dropped == 2
