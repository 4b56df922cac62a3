"""Test the readiness and metrics pages when what they show can't be rendered."""

import pytest

from standins.fleets import call, free_port
from tarragonwind.adapters.status_pages import create_status_pages
from tarragonwind.settings import StatusSettings
from tests.support import LoopRunner


def fail():
    raise RuntimeError("not rendered")


@pytest.mark.parametrize("path", ["/readyz", "/metrics"])
def test_a_page_that_cannot_be_rendered_gets_an_error_response(path):
    runner = LoopRunner()
    runner.start()
    port = free_port()
    sides = {"/readyz": ("ready_host", "ready_port"), "/metrics": ("metrics_host", "metrics_port")}
    host_field, port_field = sides[path]
    cfg = StatusSettings(**{host_field: "127.0.0.1", port_field: port})
    runner.call(lambda: create_status_pages(runner.loop, cfg, fail, fail))
    try:
        assert call(port, "GET", path, timeout_s=2.0).status == 500
    finally:
        runner.stop()
