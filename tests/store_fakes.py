"""Provide fakes at the ports: a clock that is moved by hand and blocking HTTP for stand-ins."""

from __future__ import annotations

import heapq
import http.client
import itertools

from tarragonwind.futures import Future
from tarragonwind.ports import HttpCaller, HttpError, HttpResponse


class FakeTimer:
    def __init__(self, callback, period_s=0.0):
        self.callback = callback
        self.period_s = period_s
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class FakeTimers:
    """Move time by hand and run subscribers in order."""

    def __init__(self):
        self.time = 0.0
        self._heap = []
        self._sequence = itertools.count()

    def now(self):
        return self.time

    def wall(self):
        return 1_000_000.0 + self.time

    def call_later(self, delay_s, callback):
        return self._push(self.time + delay_s, FakeTimer(callback))

    def call_every(self, period_s, callback):
        return self._push(self.time + period_s, FakeTimer(callback, period_s))

    def _push(self, due, timer):
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        return timer

    def advance(self, seconds):
        """Move time on and run what falls due."""
        end = self.time + seconds
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            self.time = max(self.time, due)
            if timer.period_s:
                self._push(due + timer.period_s, timer)
            timer.callback()
        self.time = end


class BlockingHttp(HttpCaller):
    """Exchange whole responses over a connection of its own, without a loop."""

    def fetch(self, address, req, timeout_s):
        fut = Future()
        conn = http.client.HTTPConnection(address.host, address.port, timeout=timeout_s)
        sent = False
        try:
            conn.connect()
            sent = True
            headers = {name.decode(): value.decode() for name, value in req.headers}
            conn.request(req.method, req.target, req.body, headers)
            response = conn.getresponse()
            fut.set_result(HttpResponse(response.status, [], response.read()))
        except (OSError, http.client.HTTPException) as exc:
            fut.set_exception(HttpError(repr(exc), sent))
        finally:
            conn.close()
        return fut

    def follow(self, address, req, on_data, on_end):
        raise NotImplementedError
