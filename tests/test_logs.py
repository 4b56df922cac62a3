"""Test that each event is one line of key=value pairs without secrets or request content."""

import io
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from tarragonwind.errors import EntryError
from tarragonwind.logs import configure_logs, quote_value, redact_line
from tarragonwind.settings import LogFormat, LogSettings


@pytest.fixture
def sink():
    file = io.StringIO()
    configure_logs(LogSettings(format=LogFormat.BARE), "a1", file)
    yield file
    logger.remove()
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


def test_values_are_quoted_when_needed(sink):
    logger.info("event=entry_changed name={} owner={}", "gate", 'Ana "A" B')
    assert sink.getvalue() == 'event=entry_changed name=gate owner="Ana \\"A\\" B" host=a1\n'


@pytest.mark.parametrize(
    "message",
    [
        "event=x token=hunter2",
        "event=x authorization=Bearer hunter2",
        "event=x reason=refused Bearer hunter2 here",
        'event=x prompt="a hunter2 question" n=1',
        "event=x body={'a': 'hunter2'} n=1",
        "the header was Bearer hunter2",
    ],
)
def test_secrets_and_content_are_redacted(message):
    assert "hunter2" not in redact_line(message)


def test_quoted_text_cannot_inject_a_key():
    line = redact_line(f"event=x reason={quote_value('a event=forged token=q' + chr(10))} n=1")
    assert line == 'event=x reason="a event=forged token=q\\n" n=1'


def test_a_foreign_exception_logs_only_its_class_and_stack(sink):
    try:
        int("hunter2")
    except ValueError:
        logger.exception("event=handler_failed fileno={}", 3)
    line = sink.getvalue()
    assert line.startswith("event=handler_failed fileno=3 host=a1 error=ValueError stack=")
    assert line.count("\n") == 1
    assert "hunter2" not in line


def test_an_exception_of_the_package_logs_its_message(sink):
    try:
        raise EntryError("tier: from 0 to 3")
    except EntryError:
        logger.exception("event=entry_refused")
    assert 'reason="tier: from 0 to 3"' in sink.getvalue()


def test_library_records_are_forwarded_and_redacted(sink):
    logging.getLogger("urllib3").warning("retry\nafter %s", "Bearer hunter2")
    line = sink.getvalue()
    assert line == 'event=library_log logger=urllib3 text="retry\\nafter Bearer ***" host=a1\n'


@settings(derandomize=True)
@given(st.text())
def test_every_message_becomes_one_line(text):
    line = redact_line("event=x reason=" + quote_value(text))
    assert "\n" not in line
    assert "\r" not in line
    assert line.startswith("event=x reason=")
    assert len(redact_line(text).splitlines()) == 1
