"""Test that the fleets of several test processes get ports that none of them uses."""

import socket

import pytest

from standins.fleets import HOST_ADDRESSES, LOOPBACK, consecutive_ports, free_port, is_free


@pytest.mark.parametrize("address", [LOOPBACK, HOST_ADDRESSES[0], HOST_ADDRESSES[-1]])
def test_a_port_that_any_host_listens_on_is_not_free(address):
    port = free_port()
    with socket.create_server((address, port)):
        assert not is_free(port)
    assert is_free(port)


def test_consecutive_ports_are_both_free():
    first, second = consecutive_ports()
    assert second == first + 1
    assert is_free(first) and is_free(second)
