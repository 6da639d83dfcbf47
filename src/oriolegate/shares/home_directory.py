"""Keep the homes of all services up to date with the members.

Choosing the homes of one service hashes every member. A change of one member
affects few services, so only the homes of those are chosen again.
"""

from collections.abc import Mapping

import attrs

from oriolegate.membership.messages import Member
from oriolegate.membership.rendezvous import ranked
from oriolegate.shares.homes import choose_homes
from oriolegate.shares.homes import forwarding_order
from oriolegate.shares.homes import home_key
from oriolegate.shares.share_object import Amounts


@attrs.define
class HomeSet:
    """Homes of one service and the limits that they were chosen for."""

    limits: Amounts
    homes: list[str]


class HomeDirectory:
    """Homes by service, always equal to what `choose_homes` returns.

    Attributes:
        services: Home sets by service.
        members: VMs that may get work, by data centre and VM name.
    """

    def __init__(self) -> None:
        self.services: dict[str, HomeSet] = {}
        self.members: dict[str, dict[str, Member]] = {}

    def _all_members(self) -> list[Member]:
        return [
            member
            for group in self.members.values()
            for member in group.values()
        ]

    def set_service(self, service: str, limits: Amounts) -> bool:
        """Add a service or change its limits.

        Returns:
            Whether its homes changed.
        """
        homes = choose_homes(service, limits, self._all_members())
        known = self.services.get(service)
        self.services[service] = HomeSet(limits, homes)
        return known is None or known.homes != homes

    def homes_for(self, service: str, data_centre: str) -> list[str]:
        """Return the homes in the order to try, local ones first."""
        known = self.services.get(service)
        if known is None:
            return []
        local = self.members.get(data_centre, {}).values()
        return forwarding_order(known.homes, local, data_centre)

    def add(self, member: Member) -> set[str]:
        """Add a member; return the services whose homes changed."""
        group = self.members.setdefault(member.data_centre, {})
        known = group.get(member.vm)
        group[member.vm] = member
        if known is not None:
            return set()
        return self._update_homes(
            {
                service: home_set
                for service, home_set in self.services.items()
                if self._may_become_home(service, home_set, member, group)
            }
        )

    def _may_become_home(
        self,
        service: str,
        home_set: HomeSet,
        member: Member,
        group: Mapping[str, Member],
    ) -> bool:
        chosen = [vm for vm in home_set.homes if vm in group]
        if len(chosen) == len(group) - 1:
            return True  # all other members of its data centre are homes
        if not chosen:
            # The data centre provides no home, whichever members it has.
            return False
        order = ranked(home_key(service), [*chosen, member.vm])
        return order[-1] != member.vm

    def remove(self, member: Member) -> set[str]:
        """Remove a member; return the services whose homes changed."""
        group = self.members.get(member.data_centre, {})
        if group.pop(member.vm, None) is None:
            return set()
        if not group:
            del self.members[member.data_centre]
        return self._update_homes(
            {
                service: home_set
                for service, home_set in self.services.items()
                if member.vm in home_set.homes
            }
        )

    def _update_homes(self, affected: Mapping[str, HomeSet]) -> set[str]:
        return {
            service
            for service, home_set in affected.items()
            if self.set_service(service, home_set.limits)
        }
