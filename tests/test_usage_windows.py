"""Test sliding windows against sums over all that was ever added."""

from hypothesis import given
from hypothesis import strategies as st

from tarragonwind.core.usage_windows import BUCKET_WIDTH_S, WINDOW_FRACTIONS, UsageWindow

WINDOW_S = 8.0
steps = st.lists(
    st.tuples(st.floats(0.0, 3.0), st.integers(1, 1_000), st.integers(0, 3)), max_size=150
)


class PlainWindow:
    """Sum tokens over all buckets."""

    def __init__(self):
        self.buckets = []

    def add(self, now, tokens):
        if not self.buckets or now - self.buckets[-1][0] >= BUCKET_WIDTH_S:
            self.buckets.append([now, 0])
        self.buckets[-1][1] += tokens

    def refund(self, taken_at, tokens):
        for bucket in reversed(self.buckets):
            if bucket[0] <= taken_at:
                bucket[1] -= tokens
                return

    def totals(self, now):
        starts = [now - BUCKET_WIDTH_S - fraction * WINDOW_S for fraction in WINDOW_FRACTIONS]
        return tuple(sum(one for at, one in self.buckets if at > start) for start in starts)


@given(steps)
def test_the_totals_are_the_sums_of_the_buckets_in_each_window(steps):
    window, plain, now, taken = UsageWindow(WINDOW_S), PlainWindow(), 0.0, []
    for passed_s, tokens, kind in steps:
        now += passed_s
        if kind == 0 and taken:
            refund = taken.pop(len(taken) // 2)
            window.refund(*refund)
            plain.refund(*refund)
        elif kind > 1:
            window.add(now, tokens)
            plain.add(now, tokens)
            taken.append((now, tokens))
        assert window.totals(now) == plain.totals(now)
