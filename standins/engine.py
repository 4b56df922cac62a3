"""Emulate a model engine: continuous batching, prefix cache, streams, load reports, orders."""

from __future__ import annotations

import itertools
import json
import random
from collections import OrderedDict, deque
from typing import Any

import fire
import xxhash

from standins.journals import Journal
from standins.servers import StandIn, answer_json, read_json
from tarragonwind.adapters.caller_exchanges import CallerExchange, ExchangeEvents
from tarragonwind.core.classifications import join_prompt

BLOCK_CHARACTERS = 256
"""Size of a prompt block in the prefix cache, in characters."""
CACHE_EVENT_LIMIT = 10_000
MAX_RESUMABLE_STREAMS = 200
RESUME_WINDOW_S = 5.0
"""Time for which an interrupted stream continues and can be resumed, in seconds."""
STREAMS_PATH = "/v1/streams/"


class EngineFaults:
    """Hold the engine's faults, set through ``/control``.

    `fail_fraction` and `slow_factor` apply while at least `bad_from_load` requests run;
    `fail_fraction` only to the path `bad_path` unless that is empty.
    """

    def __init__(self) -> None:
        self.fail_fraction = 0.0
        self.slow_factor = 1.0
        self.bad_from_load = 0
        self.bad_path = ""
        self.refuse = False
        self.cut_after_events = 0
        self.silent = False
        self.report_lag_s = 1.0
        self.drop_cache_events = 0.0


class Generation(ExchangeEvents):
    """Run one completion request through prefill and decode."""

    def __init__(self, engine: Engine, exchange: CallerExchange, doc: dict[str, Any]) -> None:
        self.engine = engine
        self.exchange = exchange
        self.stream = bool(doc.get("stream"))
        self.chat = exchange.request.target.startswith("/v1/chat")
        self.prompt = join_prompt(doc)
        self.max_tokens = int(doc.get("max_tokens") or doc.get("max_completion_tokens") or 16)
        self.model = str(doc.get("model"))
        self.id = f"gen-{next(engine.ids)}"
        self.request_id = exchange.request.header(b"x-request-id").decode("latin-1")
        self.generated = 0
        self.ended = False
        self.attached = True
        self.cut_done = False
        self.resumable = engine.resumable and self.stream
        exchange.events = self
        if self.resumable:
            engine.register_stream(self)

    def on_caller_disconnected(self) -> None:
        """Cancel the generation, or wait for a resume of a resumable stream."""
        self.attached = False
        if self.ended:
            return
        if not self.resumable:
            self.engine.cancel(self)
            return
        self.engine.loop.timers.call_later(RESUME_WINDOW_S, self._cancel_if_detached)

    def _cancel_if_detached(self) -> None:
        if not self.attached and not self.ended:
            self.engine.cancel(self)

    def resume(self, exchange: CallerExchange, after: int) -> None:
        """Continue a stream on a new connection, replaying the events after a number."""
        self.exchange = exchange
        self.attached = True
        exchange.events = self
        exchange.start(200, [(b"Content-Type", b"text/event-stream")])
        for number in range(after + 1, self.generated + 1):
            exchange.write(self.encode_event(number))
        if self.ended:
            self._end_stream()

    def _end_stream(self) -> None:
        if self.attached:
            self.exchange.write(self._id_line(self.max_tokens + 1) + b"data: [DONE]\n\n")
            self.exchange.finish()

    def _id_line(self, number: int) -> bytes:
        return b"id: %d\n" % number if self.resumable else b""

    def start_decoding(self) -> None:
        """Start decoding after the prefill."""
        if self.ended:
            return
        if self.stream and self.attached:
            headers = [(b"Content-Type", b"text/event-stream")]
            if self.resumable:
                headers.append((b"Stream-Id", self.id.encode()))
            self.exchange.start(200, headers)
        self._next_token()

    def _next_token(self) -> None:
        if self.ended:
            return
        if self.engine.faults.silent:
            return
        if self.generated >= self.max_tokens:
            self._finish()
            return
        if self._cut_stream():
            return
        self.generated += 1
        if self.stream and self.attached:
            self.exchange.write(self.encode_event(self.generated))
        self.engine.loop.timers.call_later(self.engine.token_interval_s(), self._next_token)

    def _cut_stream(self) -> bool:
        """Cut the connection as the faults demand; return whether the generation ended."""
        limit = self.engine.faults.cut_after_events
        if not limit or self.generated < limit or self.cut_done:
            return False
        self.cut_done = True
        if self.resumable:
            self.exchange.abort()
            self.on_caller_disconnected()
            return False
        self.ended = True
        self.engine.release(self, "cut")
        self.exchange.abort()
        return True

    def encode_event(self, number: int) -> bytes:
        """Return the server-sent event of one token in the form of the OpenAI API."""
        text = f"w{number} "
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        doc = {"id": self.id, "object": kind, "model": self.model, "choices": [choice]}
        return self._id_line(number) + b"data: " + json.dumps(doc).encode() + b"\n\n"

    def _finish(self) -> None:
        self.ended = True
        self.engine.release(self, "finished")
        if self.stream:
            self._end_stream()
            return
        text = "".join(f"w{number} " for number in range(1, self.max_tokens + 1))
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        usage = {"prompt_tokens": len(self.prompt) // 4, "completion_tokens": self.max_tokens}
        doc = {"id": self.id, "object": kind, "model": self.model, "choices": [choice]}
        answer_json(self.exchange, 200, {**doc, "usage": usage, "echo": self.request_id})


class Engine(StandIn):
    """Serve completions with a bounded batch and a prefix cache.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    name, version : str
        Name in the journal, and version that the engine reports.
    slots : int
        Maximum batch size; further requests wait in the engine's queue.
    token_ms : float
        Time between tokens of one stream with a full batch, in milliseconds.
    prefill_tokens_per_s : float
        Prefill throughput in tokens per second.
    cache_blocks : int
        Capacity of the prefix cache in prompt blocks.
    checks_fencing : bool
        Whether orders with a fencing number below the highest seen are refused.
    resumable : bool
        Whether streams can be resumed and cancelled by id.
    journal : str
        File that executions are written to, empty for none.
    seed : int
        Seed of the random faults.
    """

    def __init__(
        self,
        port: int,
        name: str = "engine",
        version: str = "v1",
        slots: int = 8,
        token_ms: float = 5.0,
        prefill_tokens_per_s: float = 20_000.0,
        cache_blocks: int = 4_096,
        checks_fencing: bool = False,
        resumable: bool = False,
        journal: str = "",
        seed: int = 1,
    ) -> None:
        super().__init__(port, EngineFaults())
        self.ids = itertools.count(1)
        self.name = name
        self.version = version
        self.slots = slots
        self._token_ms = token_ms
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self.resumable = resumable
        self._streams: OrderedDict[str, Generation] = OrderedDict()
        self._checks_fencing = checks_fencing
        self._journal = Journal(journal, name)
        self._rng = random.Random(seed)
        self._running: set[Generation] = set()
        self._queue: deque[Generation] = deque()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_blocks = cache_blocks
        self._cache_events: deque[tuple[int, str, int]] = deque(maxlen=CACHE_EVENT_LIMIT)
        self._event_ids = itertools.count(1)
        self._prefilled = 0
        self._prefill_saved = 0
        self._prefill_wasted = 0
        self._fencing = 0
        self._report = self._load_report()
        self.routes["/v1/chat/completions"] = self._complete
        self.routes["/v1/completions"] = self._complete
        self.routes["/load"] = self._show_load
        self.routes["/cache_events"] = self._show_cache_events
        self.routes["/orders"] = self._apply_order
        self.routes["/stats"] = self._show_stats
        self.loop.timers.call_later(self.faults.report_lag_s, self._refresh_report)

    def register_stream(self, generation: Generation) -> None:
        """Register a resumable stream, evicting the oldest above the limit."""
        self._streams[generation.id] = generation
        while len(self._streams) > MAX_RESUMABLE_STREAMS:
            self._streams.popitem(last=False)

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Resume or cancel a stream by its id."""
        generation = self._streams.get(path.removeprefix(STREAMS_PATH))
        if generation is None:
            answer_json(exchange, 404, {"error": "not found"})
        elif exchange.request.method == "DELETE":
            if not generation.ended:
                self.cancel(generation)
            answer_json(exchange, 200, {"cancelled": generation.id})
        else:
            after = exchange.request.header(b"last-event-id")
            self._journal.write("resumed", request=generation.request_id, after=int(after or 0))
            generation.resume(exchange, int(after or 0))

    def token_interval_s(self) -> float:
        """Return the time between tokens at the present load, in seconds."""
        load = min(1.0, len(self._running) / self.slots)
        return self._token_ms / 1000 * (0.5 + 0.5 * load) * self._slowdown_factor()

    def _slowdown_factor(self) -> float:
        return self.faults.slow_factor if self._faults_active("") else 1.0

    def _faults_active(self, path: str) -> bool:
        if self.faults.bad_path and path and path != self.faults.bad_path:
            return False
        return len(self._running) >= self.faults.bad_from_load

    def _complete(self, exchange: CallerExchange) -> None:
        if self.faults.refuse:
            answer_json(exchange, 503, {"error": "the engine is full"})
            return
        path = exchange.request.target
        if self._faults_active(path) and self._rng.random() < self.faults.fail_fraction:
            self._journal.write("failed", request=exchange.request.header(b"x-request-id").decode())
            answer_json(exchange, 500, {"error": "the version failed"})
            return
        generation = Generation(self, exchange, read_json(exchange))
        self._journal.write("accepted", request=generation.request_id)
        self._queue.append(generation)
        self._admit()

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.slots:
            generation = self._queue.popleft()
            if generation.ended:
                continue
            self._running.add(generation)
            self._journal.write("started", request=generation.request_id, version=self.version)
            tokens = self._count_prefill(generation.prompt)
            delay_s = tokens / self._prefill_tokens_per_s * self._slowdown_factor()
            self.loop.timers.call_later(delay_s, generation.start_decoding)

    def _count_prefill(self, prompt: str) -> int:
        state = xxhash.xxh64()
        missed = 0
        hit = True
        for start in range(0, len(prompt), BLOCK_CHARACTERS):
            block = prompt[start : start + BLOCK_CHARACTERS]
            state.update(block.encode())
            key = state.intdigest()
            hit = hit and key in self._cache
            if hit:
                self._cache.move_to_end(key)
                self._prefill_saved += len(block) // 4
                continue
            missed += len(block) // 4
            self._cache_block(key)
        self._prefilled += missed
        return missed

    def _cache_block(self, key: int) -> None:
        self._cache[key] = None
        self._add_cache_event("stored", key)
        while len(self._cache) > self._cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._add_cache_event("removed", old)

    def _add_cache_event(self, kind: str, key: int) -> None:
        number = next(self._event_ids)
        if self._rng.random() >= self.faults.drop_cache_events:
            self._cache_events.append((number, kind, key))

    def cancel(self, generation: Generation) -> None:
        """Stop a generation whose caller disconnected."""
        generation.ended = True
        if generation in self._running:
            if not generation.generated:
                self._prefill_wasted += len(generation.prompt) // 4
            self.release(generation, "cancelled")
        else:
            self._journal.write("cancelled_waiting", request=generation.request_id)

    def release(self, generation: Generation, event: str) -> None:
        """Free a generation's batch slot, journal the event and admit the next request."""
        self._running.discard(generation)
        self._journal.write(event, request=generation.request_id, tokens=generation.generated)
        self._admit()

    def _load_report(self) -> dict[str, Any]:
        return {
            "running": len(self._running),
            "waiting": len(self._queue),
            "slots": self.slots,
            "version": self.version,
            "as_of": self.loop.timers.wall(),
        }

    def _refresh_report(self) -> None:
        self._report = self._load_report()
        self.loop.timers.call_later(self.faults.report_lag_s, self._refresh_report)

    def _show_load(self, exchange: CallerExchange) -> None:
        answer_json(exchange, 200, self._report)

    def _show_cache_events(self, exchange: CallerExchange) -> None:
        query = exchange.request.target.partition("after=")[2]
        after = int(query) if query.isdigit() else 0
        events = [event for event in self._cache_events if event[0] > after]
        answer_json(exchange, 200, {"events": events})

    def _apply_order(self, exchange: CallerExchange) -> None:
        doc = read_json(exchange)
        fencing = int(doc.get("fencing", 0))
        if self._checks_fencing and fencing < self._fencing:
            answer_json(exchange, 409, {"error": "old fencing number", "fencing": self._fencing})
            return
        self._fencing = max(self._fencing, fencing)
        self._journal.write("order", **doc)
        self.version = str(doc.get("version", self.version))
        answer_json(exchange, 200, {"version": self.version, "fencing": self._fencing})

    def _show_stats(self, exchange: CallerExchange) -> None:
        stats = {
            "prefilled_tokens": self._prefilled,
            "prefill_saved_tokens": self._prefill_saved,
            "prefill_wasted_tokens": self._prefill_wasted,
        }
        answer_json(exchange, 200, stats)


def main(port: int, **options: Any) -> None:
    """Run an engine until the process is terminated.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    options : dict
        Further parameters of `Engine`.
    """
    Engine(port, **options).run()


if __name__ == "__main__":
    fire.Fire(main)
