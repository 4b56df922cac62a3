"""Simulate a fleet whose pool owner has limited processor time, callers that return, and engines.

The owner's loop works in rounds: it reads all that has arrived, handles it, and sends what follows
at the end. Each message costs processor time, so that a round lasts the longer the more arrives.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from permit_fleets import POOL, Fleet, create_request, create_upstream

from tarragonwind.core.owner_inboxes import OwnerInbox
from tarragonwind.core.permit_messages import Outcome, PermitSync
from tarragonwind.core.pool_owners import OWNER_MESSAGES
from tarragonwind.core.upstream_loads import LoadSettings

OWNER = "h0"
HOP_S = 0.003
TICK_S = 0.05
PAUSE_S = 1.0
"""Length of a round from which on the process counts as paused, in seconds."""
RECEIVE_S = 200e-6
"""Processor time for reading one message, in seconds."""
HANDLE_S = 200e-6
"""Processor time for handling one message, in seconds."""
ITEM_S = 20e-6
"""Processor time for each request and permit in a full state, in seconds."""
SEND_S = 120e-6
"""Processor time for sending one message, in seconds."""
TOKEN_S = 0.0034
PREFILL_TOKENS_PER_S = 112_000.0
ENGINE_SLOTS = 4
MODEL = LoadSettings(prefill_speedup=400.0, first_byte_steps=9.0, batch_slowdown=0.15)


@dataclass(frozen=True)
class Kind:
    """Describe a kind of request."""

    rank: int
    share: float
    output_tokens: int
    prompt_tokens: int
    deadline_s: float
    target_s: float


KINDS = (
    Kind(0, 155.0, 120, 3_720, 8.4, 0.632),
    Kind(1, 123.0, 54, 2_890, 4.2, 0.422),
    Kind(2, 87.0, 174, 1_110, 8.2, 0.413),
)


@dataclass
class Span:
    """Count the requests that callers sent first in one span of time, by rank."""

    asked: Counter = field(default_factory=Counter)
    on_time: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refusals: int = 0

    def goodput(self):
        return sum(self.on_time.values()) / max(1, sum(self.asked.values()))


@dataclass
class Call:
    """Follow one request of a caller over its attempts."""

    kind: Kind
    first_at: float
    span: Span
    attempts: int = 0

    @property
    def deadline(self):
        return self.first_at + self.kind.deadline_s


class BusyFleet(Fleet):
    """Simulate hosts, callers and engines; the first host owns the pool."""

    def __init__(self, host_count, engine_count, seed=7):
        self.events = []
        self.sequence = itertools.count()
        self.arrived = []
        self.inbox = OwnerInbox()
        self.outbox = None
        self.owner_free_at = 0.0
        self.round_is_due = False
        self.running = False
        self.read_count = Counter()
        self.engine_queues = {}
        upstreams = [
            create_upstream(f"u{number}", slots=ENGINE_SLOTS, tokens_per_s=1_200.0)
            for number in range(engine_count)
        ]
        super().__init__(upstreams, host_count, seed, load_settings=MODEL)
        self.rng = random.Random(seed)
        self.engine_queues = {entry.name: [0, []] for entry in upstreams}
        self.running = True
        for name in self.names:
            self.call_at(
                self.now + TICK_S * self.rng.random(), lambda name=name: self.tick_of(name)
            )

    def call_at(self, at, callback):
        heapq.heappush(self.events, (at, next(self.sequence), callback))

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            at, _, callback = heapq.heappop(self.events)
            self.now = max(self.now, at)
            callback()
        self.now = max(self.now, end)

    # Messages

    def send(self, sender, receiver, msg):
        if not self.running:
            return super().send(sender, receiver, msg)
        if sender == OWNER and self.outbox is not None:
            self.outbox.append((receiver, msg))
        else:
            self.post(self.now, sender, receiver, msg)
        return True

    def post(self, at, sender, receiver, msg):
        self.call_at(at + HOP_S, lambda: self.arrive(sender, receiver, msg))

    def arrive(self, sender, receiver, msg):
        if receiver != OWNER:
            self.hosts[receiver].receive(sender, msg)
            return
        self.arrived.append((sender, msg))
        self.begin_round_soon()

    def tick_of(self, name):
        if name == OWNER:
            self.begin_round_soon()
        else:
            self.hosts[name].client.tick(self.now)
        self.call_at(self.now + TICK_S, lambda: self.tick_of(name))

    # The owner's loop

    def begin_round_soon(self):
        if not self.round_is_due:
            self.round_is_due = True
            self.call_at(max(self.now, self.owner_free_at), self.play_round)

    def play_round(self):
        """Read all that has arrived, handle a part of it, and send what follows."""
        self.round_is_due = False
        begin, batch = self.now, self.arrived
        self.arrived, self.outbox = [], []
        owner = self.hosts[OWNER]
        for sender, msg in batch:
            self.read(owner, sender, msg)
        received = self.inbox.take(self.now)
        self.now += sum(handling_s(msg) for _, msg in received)
        owner.owners.on_messages(self.now, received)
        owner.owners.tick(self.now)
        owner.client.tick(self.now)
        if self.now - begin >= PAUSE_S:
            owner.owners.on_resumed(self.now)
            owner.client.on_resumed(self.now)
        outbox, self.outbox = self.outbox, None
        for receiver, msg in outbox:
            self.now += SEND_S
            self.post(self.now, OWNER, receiver, msg)
        self.owner_free_at = self.now
        self.now = begin
        if len(self.inbox):
            self.begin_round_soon()

    def read(self, owner, sender, msg):
        self.read_count[type(msg).__name__] += 1
        self.now += RECEIVE_S
        if isinstance(msg, OWNER_MESSAGES):
            self.inbox.put(self.now, sender, msg)
        else:
            self.now += HANDLE_S
            owner.receive(sender, msg)

    # Callers and engines

    def load(self, seconds, per_s):
        """Send requests at a rate; return the span that counts them."""
        span, end = Span(), self.now + seconds
        while self.now < end:
            self.run_until(min(end, self.now + self.rng.expovariate(per_s)))
            kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            span.asked[kind.rank] += 1
            self.attempt(Call(kind, self.now, span))
        return span

    def attempt(self, call):
        call.attempts += 1
        host = self.hosts[self.rng.choice(self.names)]
        kind = call.kind
        request = create_request(
            tier=1,
            organisation=f"o{self.rng.randrange(19)}",
            cost=kind.output_tokens + kind.prompt_tokens // 10,
            deadline=call.deadline,
            target=call.first_at + kind.target_s,
            rank=kind.rank,
            output_tokens=kind.output_tokens,
            prompt_tokens=kind.prompt_tokens,
            deadline_is_total=True,
            first_byte_deadline=call.deadline,
        )
        host.client.request_permit(
            self.now,
            request,
            lambda permit: self.dispatch(host, permit, call),
            lambda error, retry_after_s: self.return_later(call, retry_after_s),
        )

    def return_later(self, call, retry_after_s):
        call.span.refusals += 1
        left_s = call.deadline - self.now
        if call.attempts < 2 and left_s > 0.05:
            delay_s = min(retry_after_s, left_s / 3)
            self.call_at(self.now + delay_s, lambda: self.attempt(call))

    def dispatch(self, host, permit, call):
        queue = self.engine_queues[permit.upstream]
        granted_at = self.now
        if queue[0] < ENGINE_SLOTS:
            self.begin(host, permit, call, granted_at)
        else:
            queue[1].append((host, permit, call, granted_at))

    def begin(self, host, permit, call, granted_at):
        self.engine_queues[permit.upstream][0] += 1
        kind = call.kind
        first_s = kind.prompt_tokens / PREFILL_TOKENS_PER_S + 9 * TOKEN_S
        duration_s = first_s + kind.output_tokens * TOKEN_S * self.rng.uniform(0.8, 1.2)
        first_at = self.now + first_s
        self.call_at(
            self.now + duration_s,
            lambda: self.finish(host, permit, call, granted_at, first_at),
        )

    def finish(self, host, permit, call, granted_at, first_at):
        queue = self.engine_queues[permit.upstream]
        queue[0] -= 1
        if self.now <= call.deadline:
            call.span.served[call.kind.rank] += 1
            if first_at <= call.first_at + call.kind.target_s:
                call.span.on_time[call.kind.rank] += 1
        host.client.release(
            self.now,
            permit.permit_id,
            Outcome.OK,
            round(1_000 * (first_at - granted_at)),
            round(1_000 * (self.now - granted_at)),
            call.kind.output_tokens,
        )
        if queue[1]:
            self.begin(*queue[1].pop(0))

    def local_shares_in_use(self):
        return sum(host.client.uses_local_share(POOL) for host in self.hosts.values())


def handling_s(msg):
    """Return the processor time for handling a message, in seconds."""
    if isinstance(msg, PermitSync):
        return HANDLE_S + ITEM_S * (len(msg.requests) + len(msg.permits))
    return HANDLE_S
