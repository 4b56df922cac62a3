"""Emulate the platform's weight store, which limits the rate at which loads start."""

from __future__ import annotations

import argparse
import math

from standins.servers import StandIn, answer_json, read_json
from tarragonwind.adapters.caller_exchanges import CallerExchange

DEFAULT_LIFETIME_S = 3_600.0


class WeightFaults:
    """Hold the rate in loads per second and the faults, set through ``/control``."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.refuses_all = False


class WeightStore(StandIn):
    """Answer ``POST /loads`` with 200, or with 429 and Retry-After above the rate.

    ``GET /stats`` returns the admitted loads in order.
    """

    def __init__(self, port: int, rate: float) -> None:
        self.settings = WeightFaults(rate)
        super().__init__(port, self.settings)
        self.loads: list[dict[str, object]] = []
        self._free_at = -math.inf
        self.routes["/loads"] = self._load
        self.routes["/stats"] = self._show_stats

    def _load(self, exchange: CallerExchange) -> None:
        now = self.loop.timers.now()
        wait_s = 1.0 if self.settings.refuses_all else self._free_at - now
        if wait_s > 0.0:
            headers = [(b"Retry-After", b"%d" % math.ceil(wait_s))]
            exchange.answer(429, headers, b"")
            return
        self._free_at = now + 1.0 / self.settings.rate
        self.loads.append(read_json(exchange))
        answer_json(exchange, 200, {"granted": len(self.loads)})

    def _show_stats(self, exchange: CallerExchange) -> None:
        answer_json(exchange, 200, {"loads": self.loads})


def main() -> None:
    """Run the store until its lifetime has passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rate", type=float, default=1.0, help="loads a second")
    parser.add_argument("--lifetime", type=float, default=DEFAULT_LIFETIME_S, help="seconds")
    args = parser.parse_args()
    store = WeightStore(args.port, args.rate)
    store.loop.timers.call_later(args.lifetime, store.loop.stop)
    store.run()


if __name__ == "__main__":
    main()
