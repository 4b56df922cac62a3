"""Run the daemon as processes under random faults from outside, and check its promises."""
