"""Test the owners of several pools on one host."""

import random

from permit_fleets import create_upstream

from tarragonwind.core.permit_messages import PermitAsk, PermitGrant, PermitSync
from tarragonwind.core.pool_owners import OwnerDependencies, PoolOwners


def create_owners(sent, live=("h0", "h1")):
    deps = OwnerDependencies(
        lambda host, msg: sent.append((host, msg)),
        random.Random(1),
        lambda now, rng, pool, route: "",
        lambda organisation: 1.0,
    )
    return PoolOwners("h0", deps, lambda pool: "h0" if pool == "mine" else "h1", lambda: live)


def create_pool_upstream(name, pool, slots=2):
    entry = create_upstream(name, slots=slots)
    entry.pool = pool
    return entry


def request_permit(owners, pool, permit_id):
    owners.on_message(1.0, "h1", PermitSync(pool))
    owners.on_message(1.0, "h1", PermitAsk(permit_id, pool, "chat", 0, "a", 10, 0, 9_000))


def granted(sent):
    return [(msg.pool, msg.upstream) for _, msg in sent if isinstance(msg, PermitGrant)]


def test_only_owned_pools_grant_and_each_with_its_own_upstreams():
    sent = []
    owners = create_owners(sent)
    upstreams = [create_pool_upstream("u1", "mine"), create_pool_upstream("u2", "other")]
    owners.configure(0.0, ["mine", "other"], upstreams)
    request_permit(owners, "mine", 1)
    request_permit(owners, "other", 2)
    assert owners.active_pools() == ["mine"]
    assert granted(sent) == [("mine", "u1")]


def test_the_owner_of_a_removed_pool_is_removed():
    sent = []
    owners = create_owners(sent)
    owners.configure(0.0, ["mine"], [create_pool_upstream("u1", "mine")])
    owners.configure(0.5, [], [])
    request_permit(owners, "mine", 1)
    assert owners.owner("mine") is None
    assert granted(sent) == []


def test_a_local_owner_is_limited_to_the_share_of_one_host():
    local = []
    owners = create_owners([], live=("h0", "h1", "h2", "h3"))
    owners.configure(0.0, ["other"], [create_pool_upstream("u1", "other", slots=8)])
    owner = owners.create_local_owner(1.0, "other", lambda host, msg: local.append((host, msg)))
    owner.on_message(1.0, "h0", PermitSync("other"))
    for permit_id in range(5):
        owner.on_message(1.0, "h0", PermitAsk(permit_id, "other", "chat", 0, "a", 10, 0, 9_000))
    assert granted(local) == [("other", "u1")] * 2
