"""Test that the memory store and the etcd store give the same guarantees."""

import json
import subprocess
import sys
import urllib.request
from contextlib import contextmanager

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.adapters.etcd_stores import EtcdStore
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.stores import StoreSettings, create_store
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.ports import Address, Compare, Delete, HttpError, HttpResponse, HttpTransport, Put
from tests.store_fakes import BlockingHttp
from tests.support import run_until


@contextmanager
def run_kv():
    """Run the key-value stand-in as a process and yield its address."""
    command = [sys.executable, "-m", "standins.kv", "--lifetime-s", "120"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            port = int(process.stdout.readline().rsplit(":", 1)[1])
            yield Address("127.0.0.1", port)
        finally:
            process.terminate()


def control(address, **doc):
    """Set the stand-in's faults and return its report."""
    body = json.dumps(doc).encode()
    with urllib.request.urlopen(f"http://{address}/control", body, timeout=10) as response:
        return json.load(response)


@pytest.fixture(scope="module")
def kv():
    with run_kv() as address:
        control(address, snapshot="empty")
        yield address


@pytest.fixture(params=["memory", pytest.param("etcd", marks=pytest.mark.process)])
def store(request):
    if request.param == "memory":
        return create_store(StoreSettings("memory"), VirtualTimers())
    address = request.getfixturevalue("kv")
    control(address, restore="empty", outage="", drop_write_answers=0, nonsense=False)
    cfg = StoreSettings("etcd", [address], 5.0)
    return create_store(cfg, VirtualTimers(), BlockingHttp())


def test_a_transaction_applies_only_if_its_comparisons_hold(store):
    first = store.commit([Compare("a", 0)], [Put("a", b"1"), Put("b", b"2")]).result()
    assert first.succeeded
    assert not store.commit([Compare("a", 0)], [Put("a", b"9")]).result().succeeded
    item = store.get("a").result()
    assert (item.value, item.mod_revision) == (b"1", first.revision)
    second = store.commit([Compare("a", item.mod_revision)], [Delete("a")]).result()
    assert second.succeeded
    assert store.get("a").result() is None
    assert second.revision > first.revision


def test_a_range_read_returns_all_keys_under_a_prefix_in_order(store):
    for start in range(0, 2_500, 100):
        ops = [Put(f"p/{number:05}", b"x") for number in range(start, start + 100)]
        store.commit([], ops).result()
    store.commit([], [Put("q", b"other")]).result()
    items = store.read_range("p/").result().items
    assert [item.key for item in items] == [f"p/{number:05}" for number in range(2_500)]


def test_revoking_a_lease_removes_its_keys(store):
    lease_id = store.grant_lease(60).result()
    store.commit([], [Put("held", b"1", lease_id)]).result()
    assert store.get("held").result().lease_id == lease_id
    assert store.renew_lease(lease_id).result() == 60
    store.revoke_lease(lease_id).result()
    assert store.get("held").result() is None
    assert store.renew_lease(lease_id).result() == 0
    with pytest.raises(StoreError) as caught:
        store.commit([], [Put("held", b"1", lease_id)]).result()
    assert not caught.value.maybe_applied


def test_memory_leases_expire_and_watches_report_changes_in_order():
    timers = VirtualTimers()
    calls = []
    store = create_store(StoreSettings("memory"), timers, on_call=calls.append)
    seen = []
    watch = store.watch("p/", store.revision + 1, seen.extend, seen.append)
    lease_id = store.grant_lease(5).result()
    store.commit([], [Put("p/a", b"1", lease_id), Put("q", b"2")])
    timers.advance(6)
    assert [(event.key, event.value) for event in seen] == [("p/a", b"1"), ("p/a", None)]
    watch.cancel()
    store.commit([], [Put("p/b", b"1")])
    timers.advance(1)
    assert len(seen) == 2
    assert calls == ["watch", "lease_grant", "txn", "txn"]


@pytest.mark.process
def test_a_lost_response_is_reported_as_maybe_applied_and_not_retried(kv):
    control(kv, restore="empty", reset_counts=True, drop_write_answers=1)
    store = EtcdStore(BlockingHttp(), [kv, kv], 5.0, lambda kind: None)
    with pytest.raises(StoreError) as caught:
        store.commit([Compare("a", 0)], [Put("a", b"1")]).result()
    assert caught.value.maybe_applied
    assert store.get("a").result().value == b"1"
    assert control(kv)["calls"] == {"txn": 1, "range": 1}


@pytest.mark.process
def test_an_outage_and_malformed_responses_are_store_errors(kv):
    store = EtcdStore(BlockingHttp(), [kv], 5.0, lambda kind: None)
    for fault in ({"outage": "drop"}, {"outage": "refuse"}, {"nonsense": True}):
        control(kv, **{"outage": "", **fault})
        with pytest.raises(StoreError):
            store.get("a").result()
    control(kv, outage="", nonsense=False)


@pytest.mark.process
def test_a_store_restored_from_a_snapshot_returns_old_values(kv):
    control(kv, restore="empty")
    store = EtcdStore(BlockingHttp(), [kv], 5.0, lambda kind: None)
    store.commit([], [Put("a", b"old")]).result()
    control(kv, snapshot="old")
    store.commit([], [Put("a", b"new")]).result()
    control(kv, restore="old")
    assert store.get("a").result().value == b"old"


@pytest.mark.process
def test_a_watch_over_the_http_client_reports_changes_and_its_end(kv):
    control(kv, restore="empty")
    loop = create_loop()
    store = EtcdStore(HttpClient(loop), [kv], 5.0, lambda kind: None)
    seen, ends = [], []

    def start():
        store.watch("p/", 1, seen.extend, ends.append)
        store.commit([], [Put("p/a", b"1"), Put("q", b"2")])

    loop.timers.call_later(0.0, start)
    run_until(loop, lambda: len(seen) == 1)
    loop.timers.call_later(0.0, lambda: store.commit([], [Delete("p/a")]))
    run_until(loop, lambda: len(seen) == 2)
    assert [(event.key, event.value) for event in seen] == [("p/a", b"1"), ("p/a", None)]
    control(kv, cut_watches=True)
    run_until(loop, lambda: ends)
    assert control(kv)["watches"] == 0


@pytest.mark.process
def test_calls_to_a_hanging_store_time_out(kv):
    control(kv, restore="empty")
    loop = create_loop()
    store = EtcdStore(HttpClient(loop), [kv], 0.2, lambda kind: None)
    control(kv, outage="hang")
    futs = []
    loop.timers.call_later(0.0, lambda: futs.extend([store.get("a"), store.commit([], [])]))
    run_until(loop, lambda: len(futs) == 2 and all(fut.done() for fut in futs))
    control(kv, outage="")
    assert [fut._exc.maybe_applied for fut in futs] == [False, True]


class ScriptedTransport(HttpTransport):
    """Answer each call with the next scripted response, and record the ports called."""

    def __init__(self, *script):
        self.script = list(script)
        self.called_ports = []
        self.closed = 0

    def fetch(self, address, req, timeout_s):
        self.called_ports.append(address.port)
        fut = Future()
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            fut.set_exception(answer)
        else:
            fut.set_result(HttpResponse(answer[0], [], answer[1]))
        return fut

    def stream(self, address, req, on_data, on_end):
        self.on_data, self.on_end = on_data, on_end

        def close():
            self.closed += 1

        return close


ENDPOINTS = [Address("127.0.0.1", 1), Address("127.0.0.1", 2)]
WRITTEN = (200, b'{"header":{"revision":"7"},"succeeded":true}')


def create_scripted_store(*script):
    http = ScriptedTransport(*script)
    return http, EtcdStore(http, ENDPOINTS, 2.0, lambda kind: None)


def test_a_write_fails_over_only_if_it_was_not_sent():
    http, store = create_scripted_store(HttpError("refused", sent=False), WRITTEN)
    assert store.commit([], [Put("a", b"")]).result().revision == 7
    assert http.called_ports == [1, 2]
    for answer in (HttpError("cut", sent=True), (503, b"late"), (200, b"nonsense"), (200, b"[]")):
        http, store = create_scripted_store(answer, WRITTEN)
        with pytest.raises(StoreError) as caught:
            store.commit([], [Put("a", b"")]).result()
        assert caught.value.maybe_applied, answer
        assert http.called_ports == [1]


def test_a_read_fails_over_and_its_response_is_validated():
    http, store = create_scripted_store(
        HttpError("cut", sent=True), (200, b'{"header":{"revision":"7"}}')
    )
    assert store.get("a").result() is None
    for body in (b'{"kvs":[{}]}', b'{"kvs":[{"key":"Yg==","mod_revision":"1"}]}', b'{"kvs":3}'):
        with pytest.raises(StoreError):
            create_scripted_store((200, body))[1].get("a").result()


@pytest.mark.parametrize(
    "data", [b'{"result":{"canceled":true}}\n', b"zzz\n", b'{"result":{"events":[{"kv":1}]}}\n']
)
def test_a_malformed_watch_message_ends_the_watch_once(data):
    http, store = create_scripted_store()
    seen, ends = [], []
    store.watch("p", 1, seen.extend, ends.append)
    http.on_data(b'{"result":{"created":true}}\n{"result":{"events":[{"kv":{"key":"cA==",')
    http.on_data(b'"mod_revision":"3"}}]}}\n' + data)
    http.on_end("closed")
    assert [(event.key, event.value) for event in seen] == [("p", b"")]
    assert (len(ends), http.closed) == (1, 1)
