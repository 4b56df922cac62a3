"""Test when this host's own path to an upstream counts as lost."""

from tarragonwind.core.upstream_paths import UpstreamPaths
from tarragonwind.ports import Address

UPSTREAMS = [Address("10.0.0.1", port) for port in range(1, 6)]


def test_one_lost_path_leaves_the_others_in_use():
    paths = UpstreamPaths()
    assert paths.on_tunnelled(UPSTREAMS[0], tried_direct=True)
    assert not paths.on_tunnelled(UPSTREAMS[0], tried_direct=True)
    assert paths.is_suspect(UPSTREAMS[0])
    assert not paths.is_suspect(UPSTREAMS[1])


def test_several_lost_paths_make_all_suspect_until_as_many_work():
    paths = UpstreamPaths()
    for upstream in UPSTREAMS[:2]:
        paths.on_tunnelled(upstream, tried_direct=True)
    assert paths.is_suspect(UPSTREAMS[4])
    paths.on_direct(UPSTREAMS[2])
    assert paths.is_suspect(UPSTREAMS[4])
    assert not paths.is_suspect(UPSTREAMS[2])
    paths.on_direct(UPSTREAMS[3])
    assert not paths.is_suspect(UPSTREAMS[4])
    assert paths.is_suspect(UPSTREAMS[0])


def test_a_path_that_was_not_tried_is_verified_later():
    paths = UpstreamPaths()
    for upstream in UPSTREAMS[:2]:
        paths.on_tunnelled(upstream, tried_direct=True)
    assert not paths.on_tunnelled(UPSTREAMS[2], tried_direct=False)
    assert UPSTREAMS[2] in paths.avoided()
    assert paths.on_direct(UPSTREAMS[2])
    assert UPSTREAMS[2] not in paths.avoided()


def test_a_healed_path_is_used_again_and_nothing_of_the_cut_is_left():
    paths = UpstreamPaths()
    for upstream in UPSTREAMS[:3]:
        paths.on_tunnelled(upstream, tried_direct=True)
    assert [paths.on_direct(upstream) for upstream in UPSTREAMS[:3]] == [True] * 3
    assert paths.avoided() == []
    assert not paths.all_suspect
    assert not paths.on_direct(UPSTREAMS[0])


def test_addresses_without_an_upstream_are_forgotten():
    paths = UpstreamPaths()
    for upstream in UPSTREAMS[:2]:
        paths.on_tunnelled(upstream, tried_direct=True)
    paths.forget_except(set(UPSTREAMS[2:]))
    assert not paths.all_suspect
