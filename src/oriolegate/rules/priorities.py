"""Find the priority rule of a caller, on the request path."""

from collections.abc import Iterable

import attrs

from oriolegate.rules.matching import CallerPattern
from oriolegate.rules.model import PriorityRule


@attrs.frozen
class RankedPriority:
    """A priority rule; the matching rule with the lowest rank applies."""

    rank: int
    rule: PriorityRule
    pattern: CallerPattern


@attrs.define
class PriorityIndex:
    """Priority rules, ranked by the precision of their patterns.

    Most patterns are plain names or prefixes, which are looked up by hash, so
    that the time depends little on the number of rules.

    Attributes:
        names: Patterns without a star, by name.
        prefixes: Patterns whose only star is at the end, by length of the
            prefix and by prefix.
        others: All other patterns, in order of rank.
    """

    names: dict[str, RankedPriority] = attrs.field(factory=dict)
    prefixes: dict[int, dict[str, RankedPriority]] = attrs.field(factory=dict)
    others: list[RankedPriority] = attrs.field(factory=list)

    def find(self, caller: str) -> PriorityRule | None:
        """Return the matching rule with the most precise pattern, or None."""
        matching = [
            by_prefix[caller[:length]]
            for length, by_prefix in self.prefixes.items()
            if caller[:length] in by_prefix
        ]
        if caller in self.names:
            matching.append(self.names[caller])
        for ranked in self.others:
            if ranked.pattern.matches(caller):
                matching.append(ranked)
                break
        if not matching:
            return None
        return min(matching, key=lambda ranked: ranked.rank).rule


def _precision(rule: PriorityRule) -> tuple[int, str]:
    literal_length = len(rule.pattern.replace("*", ""))
    return (-literal_length, rule.pattern)


def index_priorities(rules: Iterable[PriorityRule]) -> PriorityIndex:
    """Index priority rules; the pattern with most literal characters wins."""
    index = PriorityIndex()
    for rank, rule in enumerate(sorted(rules, key=_precision)):
        pattern = CallerPattern(rule.pattern)
        ranked = RankedPriority(rank, rule, pattern)
        match pattern.parts:
            case (name,):
                index.names[name] = ranked
            case (prefix, ""):
                by_prefix = index.prefixes.setdefault(len(prefix), {})
                by_prefix[prefix] = ranked
            case _:
                index.others.append(ranked)
    return index
