"""Requests that were lost in each crash, as all instances report them.

A crash is known by its upstream and the start of it, so that instances which
have lost different requests in one crash mean the same.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict

MAX_CRASHES = 512
"""Maximum number of crashes kept; the oldest is dropped."""


MAX_LOST = 256
"""Maximum number of requests kept for one crash; further ones are left out."""


class CrashLosses:
    """Fingerprints that may be responsible for each crash.

    Attributes:
      by_crash: Fingerprints lost in each crash, the oldest crash first.
      by_fingerprint: Crashes in which each fingerprint was lost.
    """

    def __init__(self) -> None:
        self.by_crash: OrderedDict[str, set[str]] = OrderedDict()
        self.by_fingerprint: defaultdict[str, set[str]] = defaultdict(set)

    def add(self, crash: str, fingerprint: str) -> None:
        """Records that a request was lost in a crash."""
        lost = self.by_crash.setdefault(crash, set())
        if len(lost) >= MAX_LOST:
            return
        lost.add(fingerprint)
        self.by_fingerprint[fingerprint].add(crash)
        if len(self.by_crash) > MAX_CRASHES:
            self.remove(next(iter(self.by_crash)))

    def remove(self, crash: str) -> None:
        """Removes a crash that is too old, or that was none."""
        for fingerprint in self.by_crash.pop(crash, set()):
            self.forget(fingerprint, crash)

    def clear(self, fingerprint: str) -> None:
        """Removes a request that crashes nothing from all crashes."""
        for crash in self.by_fingerprint.pop(fingerprint, set()):
            self.by_crash[crash].discard(fingerprint)

    def forget(self, fingerprint: str, crash: str) -> None:
        """Removes a crash from those of a fingerprint."""
        crashes = self.by_fingerprint[fingerprint]
        crashes.discard(crash)
        if not crashes:
            del self.by_fingerprint[fingerprint]

    def weight(self, fingerprint: str, crash: str, share: float) -> float:
        """Returns how likely a request is to have caused a crash, 0 to 1.

        One that was lost in more crashes than any other of this crash explains
        it alone. Those with fewer crashes are explained by another request, and
        those with as many as the others share the crash.

        Args:
          fingerprint: Fingerprint of the request.
          crash: The crash.
          share: One divided by the number of requests that one instance lost in
            it; some of them may not be reported.
        """
        own = len(self.by_fingerprint.get(fingerprint, ()))
        others = [
            len(self.by_fingerprint[other])
            for other in self.by_crash.get(crash, ())
            if other != fingerprint
        ]
        most = max(others, default=0)
        if own < most:
            return 0.0
        if own > max(most, 1):
            return 1.0
        return min(share, 1 / (1 + others.count(own)))
