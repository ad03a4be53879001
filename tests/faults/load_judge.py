"""Checks of the load on endpoints, from the calls that the endpoints recorded.

They find calls during a requested wait, and calls beyond the budget of a destination
that is warming up. The bounds come from the platform's rules and the forwarder's
settings.
"""

import dataclasses
import math

WAIT_SLACK_S = 0.1  # calls that arrive this soon after the answer are allowed
FEW_CALLS = 30  # smaller budgets get a larger margin for random variation


@dataclasses.dataclass(frozen=True)
class Wait:
    """An answer that requested a wait; times are on the same monotonic clock."""

    requested_at: float
    until: float


def calls_in_waits(arrivals, waits):
    """Returns the arrivals during a wait, each with that wait."""
    return [
        (at, wait)
        for at in arrivals
        for wait in waits
        if wait.requested_at + WAIT_SLACK_S < at < wait.until
    ]


@dataclasses.dataclass(frozen=True)
class ColdRules:
    """The load that the settings allow for a destination after its return."""

    rate: float  # calls per second once it is warm
    share: float  # of the rate, allowed at the return
    warm_after_s: float
    window_s: float
    multiple: float  # of the current rate, allowed over a window

    @classmethod
    def of_settings(cls, settings, rate):
        rules = settings["rules"]
        return cls(
            rate=rate,
            share=rules["cold-share"],
            warm_after_s=rules["cold"] / 1e9,
            window_s=rules["fall"] / 1e9,
            multiple=rules["fall-multiple"],
        )

    def budget(self, begin_s):
        """Returns the calls allowed in the window that begins `begin_s` after the
        return."""
        middle = begin_s + self.window_s / 2
        warmth = min(1, max(0, middle / self.warm_after_s))
        rate = self.rate * (self.share + (1 - self.share) * warmth)
        calls = self.multiple * rate * self.window_s
        factor = 3 if calls < FEW_CALLS else 2
        return calls + factor * math.sqrt(calls) + factor


def windows_over_budget(arrivals, returned_at, rules):
    """Returns (seconds after the return, calls, budget) of each window over its
    budget."""
    times = sorted(at - returned_at for at in arrivals if at >= returned_at)
    found = []
    for index, begin in enumerate(times):
        if begin > rules.warm_after_s:
            break
        calls = sum(1 for at in times[index:] if at < begin + rules.window_s)
        if calls > rules.budget(begin):
            found.append((begin, calls, rules.budget(begin)))
    return found
