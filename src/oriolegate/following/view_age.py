"""Tells when a view of the store is older than a rule allows.

Requests go on by the last view, since an old view serves callers better than
none. The monitor decides which views to report to operators; it never changes
what is done with a view.
"""

from collections.abc import Mapping

import attrs

from oriolegate.following.follower import Follower
from oriolegate.models.site import Bounds
from oriolegate.models.stored import Collection


@attrs.frozen
class AgeReport:
    """A view that became too old, or is no longer.

    Attributes:
        collection: The collection of the view.
        age_ms: Age of the view; infinite if the store never confirmed it.
        limit_ms: Age that the rule allows.
        is_overdue: Whether the view is older than that.
    """

    collection: Collection
    age_ms: float
    limit_ms: float
    is_overdue: bool


def age_limits_ms(bounds: Bounds) -> dict[Collection, float]:
    """Return the age at which a view of each collection breaks a rule.

    No rule bounds the age of the member list.
    """
    return {
        Collection.LEAFS: bounds.drain_ms,
        Collection.CONFIGURATION: bounds.config_apply_ms,
        Collection.EVACUATIONS: bounds.evacuate_ms,
        Collection.CRASHES: bounds.contact_ms,
    }


class ViewAgeMonitor:
    """Reports the views whose age passes its limit, each change once.

    A watch without changes confirms a view only when it ends, so a limit that
    is shorter than a watch is prolonged to what the view's follower allows.

    Attributes:
        followers: Follower of each collection.
        limits_ms: Age limit of each collection that has one.
        overdue: Collections whose views are too old.
    """

    def __init__(
        self, followers: Mapping[Collection, Follower], bounds: Bounds
    ) -> None:
        self.followers = followers
        self.limits_ms = age_limits_ms(bounds)
        self.overdue: set[Collection] = set()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self.limits_ms = age_limits_ms(bounds)

    def age_ms(self, now_ms: float, collection: Collection) -> float:
        """Return the age of a view; infinite before the first list."""
        return now_ms - self.followers[collection].confirmed_ms

    def check(self, now_ms: float) -> list[AgeReport]:
        """Return the views that became too old or current since last time."""
        reports = []
        for collection, limit_ms in self.limits_ms.items():
            follower = self.followers[collection]
            if not follower.complete:
                continue
            allowed_ms = max(limit_ms, follower.max_age_ms)
            age_ms = self.age_ms(now_ms, collection)
            is_overdue = age_ms > allowed_ms
            if is_overdue != (collection in self.overdue):
                self.overdue ^= {collection}
                reports.append(
                    AgeReport(collection, age_ms, allowed_ms, is_overdue)
                )
        return reports
