"""Decides who may use which part of a budget, and owns the state of what is lent.

Rule 4 bounds what all gateways together send a cold be in any fall span. Alone each has its own part, 1/N of
it, which nobody needs to be asked for. Parts that are not needed can be lent: a forwarder to a planner, a
planner on to another forwarder. However many planners there are, whatever they believe, and whatever is lost
on the way, no part is ever in two hands within one fall span, as each only passes on what it holds:

- A lender gives a part up as it answers, and takes it up again only when its time is surely over.
- A borrower counts the time from before it asked, so that no two clocks are ever compared.
- Who gets a part begins with it one fall span after it was given up, and who gave it up begins again one fall
  span after its end: what the other sent still counts until then.

Clocks run at one speed, but for DRIFT. No I/O; times are of each party's own steady clock, whole tenths of a
millisecond; parts are of the whole budget, 0 to 1.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DRIFT = 0.001  # by which one clock may run faster than another
LEAST = 1e-9  # parts below are nothing
NEVER = 1 << 62


@dataclass
class Lot:
    """A part in hand, for a time; what of it is lent on is not there."""

    part: float
    begin: int  # usable from then
    until: int  # and before then
    lent: list[tuple[float, int]] = field(default_factory=list)  # parts, and when each is back

    def free(self, now: int) -> float:
        """What of it may be used now."""
        if not self.begin <= now < self.until:
            return 0.0
        return self.spare(now)

    def spare(self, now: int) -> float:
        """What of it is not lent, whether it may be used already or not."""
        self.lent = [(part, back) for part, back in self.lent if back > now]
        return max(0.0, self.part - sum(part for part, _ in self.lent))


@dataclass(frozen=True)
class Grant:
    """What a lender answers: a part, usable so long after this is heard, for so long after it was asked
    for."""

    part: float
    delay: int
    span: int


class Purse:
    """One party's parts of one budget."""

    def __init__(self, own: float, fall: int, begin: int = 0) -> None:
        """`own`: the part that is this party's for good, usable from `begin` on: a process that starts anew
        under an old name does not know what that one had lent, and waits until all of it is surely back."""
        self.fall, self.own = fall, own
        self.lots = [Lot(own, begin, NEVER)] if own > 0 else []

    def usable(self, now: int) -> float:
        """The part that may be used now."""
        self._clean(now)
        return sum(lot.free(now) for lot in self.lots)

    def spare(self, now: int, span: int) -> float:
        """What could be lent for so long."""
        self._clean(now)
        return sum(lot.spare(now) for lot in self.lots if self._left(lot, now) >= min(span, 4 * self.fall))

    def lend(self, now: int, part: float, span: int) -> Grant | None:
        """Give up a part for so long at most; none where there is nothing worth lending. It is given up here
        and now, whether the answer arrives or not. One lot a grant: that with the most time left."""
        self._clean(now)
        lots = [lot for lot in self.lots if lot.spare(now) > LEAST and self._left(lot, now) > 2 * self.fall]
        if not lots or part <= LEAST or span <= 2 * self.fall:
            return None
        lot = max(lots, key=lambda one: (min(one.until, now + span), one.spare(now)))
        given = min(part, lot.spare(now))
        lasts = min(span, self._left(lot, now))
        # it stops being used now, and is used elsewhere one fall span after the answer is heard; where it was
        # not yet usable here either, it waits for that as well
        delay = self.fall + max(0, lot.begin - now)
        if lasts <= delay:
            return None
        back = now + self._longer(lasts) + self.fall
        lot.lent.append((given, back))
        return Grant(given, delay, lasts)

    def borrow(self, grant: Grant, asked: int, heard: int) -> bool:
        """A grant has come: its time counts from when it was asked for; False where nothing is left of it."""
        begin, until = heard + self._longer(grant.delay), asked + self._shorter(grant.span)
        if until <= begin or grant.part <= LEAST:
            return False
        self.lots.append(Lot(grant.part, begin, until))
        return True

    def idle(self, now: int) -> bool:
        """Is nothing lent, and nothing borrowed?"""
        self._clean(now)
        return all(lot.until == NEVER and lot.spare(now) == lot.part for lot in self.lots)

    def until(self, now: int) -> int:
        """When the first part that was borrowed is over; NEVER where none is."""
        self._clean(now)
        return min((lot.until for lot in self.lots), default=NEVER)

    def _left(self, lot: Lot, now: int) -> int:
        return lot.until - now if lot.until < NEVER else NEVER

    def _clean(self, now: int) -> None:
        self.lots = [lot for lot in self.lots if lot.until > now]

    @staticmethod
    def _longer(span: int) -> int:
        return span + int(span * DRIFT) + 1

    @staticmethod
    def _shorter(span: int) -> int:
        return span - int(span * DRIFT) - 1


def divide(wants: dict[str, float], parts: float) -> dict[str, float]:
    """Divide parts among those that want some, by max-min: who wants little gets it, the rest is even. In the
    order of names, so that any two who divide the same divide alike."""
    out = dict.fromkeys(wants, 0.0)
    open_, left = sorted(name for name in wants if wants[name] > LEAST), parts
    while open_ and left > LEAST:
        even = left / len(open_)
        small = [name for name in open_ if wants[name] <= even]
        for name in small or open_:
            out[name] = wants[name] if small else even
            left -= out[name]
        open_ = [name for name in open_ if name not in small] if small else []
    return out
