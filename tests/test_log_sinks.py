"""Test that the log sink never blocks, is bounded and drops low-priority lines first."""

import os

from loguru import logger

from tarragonwind.log_sinks import MAX_BUFFER_BYTES, MAX_LINES_PER_S, BoundedSink


class Clock:
    """Return a time that the test sets."""

    def __init__(self):
        self.now = 1.0

    def __call__(self):
        return self.now


def create_sink():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    clock = Clock()
    sink = BoundedSink(writer, clock)
    logger.remove()
    logger.add(sink.write, format="{message}", level="INFO")
    return sink, reader, clock


def read_all(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def test_a_stalled_reader_does_not_block_and_the_buffer_is_bounded():
    sink, reader, clock = create_sink()
    for number in range(3_000):
        clock.now += 0.01
        logger.warning("event=refused number={} {}", number, "x" * 400)
    assert len(sink._buffer) <= MAX_BUFFER_BYTES + 1_000
    assert sink.dropped > 0
    for _ in range(10):
        read_all(reader)
        sink.flush()
    clock.now += 1.0
    logger.warning("event=refused number=last")
    sink.flush()
    text = read_all(reader).decode()
    assert "event=log_lines_dropped count=" in text
    assert "number=last" in text


def test_low_priority_lines_are_dropped_first():
    sink, reader, _ = create_sink()
    lines = []
    for number in range(MAX_LINES_PER_S):
        logger.info("event=request_ended number={}", number)
        lines += read_all(reader).decode().splitlines()
    kept = len(lines)
    for number in range(MAX_LINES_PER_S // 4):
        logger.warning("event=refused number={}", number)
        lines += read_all(reader).decode().splitlines()
    assert kept == MAX_LINES_PER_S // 2
    assert sum("refused" in line for line in lines) == MAX_LINES_PER_S // 4
    assert sink.dropped == MAX_LINES_PER_S // 2


def test_a_closed_reader_raises_no_error():
    _, reader, _ = create_sink()
    os.close(reader)
    logger.warning("event=refused")
    logger.warning("event=refused")
    logger.remove()
