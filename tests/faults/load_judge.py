"""Judges of an endpoint's load, from the endpoints' own records: calls in a wait
that was asked for, and calls beyond the budget of a destination that is warming up.

The bounds are those of the platform's rules and of the forwarder's settings.
"""

import dataclasses
import math

WAIT_SLACK_S = 0.1  # calls that come so soon behind the answer are let through
FEW_CALLS = 30  # budgets below it have a larger margin for chance


@dataclasses.dataclass(frozen=True)
class Wait:
    """An answer that asked to wait; times are of one monotonic clock."""

    requested_at: float
    until: float


def calls_in_waits(arrivals, waits):
    """The arrivals that came in a wait, each with that wait."""
    return [
        (at, wait)
        for at in arrivals
        for wait in waits
        if wait.requested_at + WAIT_SLACK_S < at < wait.until
    ]


@dataclasses.dataclass(frozen=True)
class ColdRules:
    """What a destination takes behind its return, by the settings."""

    rate: float  # calls a second, once it is warm
    share: float  # of the rate, at the return
    warm_after_s: float
    window_s: float
    multiple: float  # of the present rate, over a window

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
        """Calls allowed in the window that begins so long behind the return."""
        middle = begin_s + self.window_s / 2
        warmth = min(1, max(0, middle / self.warm_after_s))
        rate = self.rate * (self.share + (1 - self.share) * warmth)
        calls = self.multiple * rate * self.window_s
        factor = 3 if calls < FEW_CALLS else 2
        return calls + factor * math.sqrt(calls) + factor


def windows_over_budget(arrivals, returned_at, rules):
    """(seconds behind the return, calls, budget) of each window that has too many."""
    times = sorted(at - returned_at for at in arrivals if at >= returned_at)
    found = []
    for index, begin in enumerate(times):
        if begin > rules.warm_after_s:
            break
        calls = sum(1 for at in times[index:] if at < begin + rules.window_s)
        if calls > rules.budget(begin):
            found.append((begin, calls, rules.budget(begin)))
    return found
