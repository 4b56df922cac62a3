"""Test how many lost keepalive probes an idle connection between hosts survives."""

import socket

from tarragonwind.adapters.peer_conns import KEEPALIVE_PROBES, _set_options


def read_option(sock, name):
    return sock.getsockopt(socket.IPPROTO_TCP, name)


def count_unanswered_probes(sock):
    """Return the probes that Linux sends on a silent connection before it closes it."""
    idle_s = read_option(sock, socket.TCP_KEEPIDLE)
    interval_s = read_option(sock, socket.TCP_KEEPINTVL)
    user_timeout_s = read_option(sock, socket.TCP_USER_TIMEOUT) / 1_000
    sent = 0
    silent_s = idle_s
    while not (sent and silent_s >= user_timeout_s):
        sent += 1
        silent_s += interval_s
    return sent


def test_one_lost_probe_ends_no_idle_connection():
    with socket.socket() as sock:
        _set_options(sock)
        assert count_unanswered_probes(sock) >= KEEPALIVE_PROBES
