"""Provide Hypothesis strategies for rules and rules files."""

from hypothesis import strategies as st

from oriolegate.models.policy import CoverageMode
from oriolegate.models.policy import Priority
from oriolegate.rules import model
from oriolegate.rules.settings import groups_of
from oriolegate.rules.settings import SETTINGS
from oriolegate.rules.values import ValueKind

NAMES = st.text("ab9._/-", max_size=5).map(lambda tail: "n" + tail)
PATTERNS = st.text(st.sampled_from('ab-* #é"'[:-1]), min_size=1, max_size=8)
ASKERS = st.builds(
    model.Asker, st.sampled_from(["Marta", "R. Díaz"]), st.just("t 1")
)
ENDS = st.none() | st.integers(0, 4_000_000_000).map(lambda s: s * 1_000)
_NUMBERS = {
    ValueKind.DURATION: st.integers(1, 3_600_000).map(float),
    ValueKind.RATIO: st.integers(0, 10_000).map(lambda n: n / 10_000),
    ValueKind.PERCENT: st.integers(0, 10_000).map(lambda n: n / 10_000),
    ValueKind.COUNT: st.integers(1, 10**9),
    ValueKind.COVERAGE: st.sampled_from(CoverageMode),
}


@st.composite
def changes(draw, groups=tuple(model.PolicyGroup)):
    usable = [s for s in SETTINGS if s.group in groups]
    chosen = draw(st.lists(st.sampled_from(usable), min_size=1, max_size=5))
    fields = {s.field: draw(_NUMBERS[s.kind]) for s in chosen}
    if model.PolicyGroup.HEDGE in groups:
        fields["hedge_enabled"] = draw(st.sampled_from([None, True, False]))
    for later, sooner in (
        ("max_deadline_ms", "deadline_ms"),
        ("deadline_ms", "soft_deadline_ms"),
    ):
        if later in fields and sooner in fields:
            fields[sooner] = min(fields[sooner], fields[later])
    return model.PolicyChange(**fields)


@st.composite
def _service_rules(draw):
    change = draw(
        st.sampled_from(model.PolicyGroup).flatmap(lambda g: changes((g,)))
    )
    (group,) = groups_of(change)
    return model.ServiceRule(
        service=draw(NAMES),
        group=group,
        change=change,
        asker=draw(ASKERS),
        until_ms=draw(ENDS),
    )


TARGETS = (
    st.builds(model.IndexTarget, st.integers(0, 10**6))
    | st.builds(model.UpstreamTarget, NAMES)
    | st.builds(model.PolicyTarget, changes())
)


def _built(rule_class, **fields):
    return st.builds(rule_class, asker=ASKERS, until_ms=ENDS, **fields)


def _samples(rule_class):
    return _built(
        rule_class,
        name=NAMES,
        share=st.integers(1, 1_000).map(lambda n: n / 1_000),
        pattern=PATTERNS,
        service=NAMES,
        target=TARGETS,
    )


RULES = (
    _built(model.RouteRule, route=NAMES, service=NAMES)
    | _built(
        model.TakeOutRule, kind=st.sampled_from(model.TakeOutKind), name=NAMES
    )
    | _service_rules()
    | _built(
        model.PriorityRule,
        pattern=PATTERNS,
        priority=st.sampled_from(Priority),
    )
    | _samples(model.TrialRule)
    | _samples(model.MirrorRule)
)


def _entry(rule, comments, blank_before):
    note = f"# asked-by: {rule.asker.name} (t 1): as agreed"
    asker = model.Asker(rule.asker.name, "t 1", "as agreed")
    rule = type(rule)(**{**_fields(rule), "asker": asker})
    return model.Entry(tuple(comments), rule, note, blank_before)


def _fields(rule):
    return {f.name: getattr(rule, f.name) for f in rule.__attrs_attrs__}


ENTRIES = st.builds(
    _entry,
    RULES,
    st.lists(st.sampled_from(["# why", "#"]), max_size=2),
    st.booleans(),
)
DOCUMENTS = st.lists(
    ENTRIES,
    max_size=8,
    unique_by=lambda e: model.rule_key(e.rule),
).map(lambda entries: model.Document(tuple(entries)))
