"""docs/CAPACITY.md: its tables are those of the committed results, and every formula can be followed."""

import re

import pytest

from benchmarks.capacitykit import givens, roles
from benchmarks.capacitykit.costs import Costs, NotMeasured
from benchmarks.capacitykit.findings import largest
from benchmarks.capacitykit.page import PAGE, costs_of, read_results, with_tables
from benchmarks.capacitykit.subscriptions import SubscriptionCosts
from benchmarks.capacitykit.tables import NOT_YET, number, shown

ROW = {
    "name": "a",
    "grows": "n",
    "figures": {"x": {"exponent": 2.0, "points": {"10": 100.0, "20": 400.0, "40": 3200.0}}},
}


@pytest.fixture(scope="module")
def results():
    return read_results()


def test_the_committed_tables_are_those_of_the_committed_results(results):
    text = PAGE.read_text()
    assert with_tables(text, results) == text, "run: python benchmarks/capacitykit/page.py"


def test_every_formula_has_a_value_in_every_condition(results):
    page = roles.read()
    values = roles.Values(costs_of(results), page)
    for role in page.roles:
        for figure in role.figures:
            assert not figure.budget or figure.budget in givens.BUDGETS
            for condition in givens.CONDITIONS if figure.formula else ():
                assert values.value(figure.formula, condition) >= 0, (role.name, figure.what)


def test_the_modules_that_roles_name_exist():
    program = PAGE.parent.parent / "indigohitch"
    for role in roles.read().roles:
        for named in re.findall(r"`([a-z_/]+(?:\.py|/))", role.modules):
            assert list(program.rglob(named.rstrip("/"))), (role.name, named)


def test_what_is_not_measured_is_said_so_and_has_no_figure():
    page, text = roles.read(), PAGE.read_text()
    unmeasured = [figure for role in page.roles for figure in role.figures if not figure.formula]
    assert text.count(f"| {NOT_YET} |") == len(unmeasured) > 0


def test_a_cost_is_the_measured_one_where_it_was_measured_and_carried_on_elsewhere():
    costs = Costs([ROW], {"program": 20.0})
    assert costs.of("a", "x", 20) == pytest.approx(400)
    assert costs.of("a", "x", 14.142135) == pytest.approx(200)  # by the power law between 10 and 20
    assert costs.of("a", "x", 80) == pytest.approx(12_800)  # by the exponent, from the largest
    assert costs.of("a", "x", 5) == pytest.approx(25)
    assert costs.base("program") == 20.0
    for missing in (lambda: costs.of("b", "x", 1), lambda: costs.of("a", "y", 1), lambda: costs.base("c")):
        with pytest.raises(NotMeasured):
            missing()


def test_a_formula_goes_by_the_condition_and_by_changed_givens():
    page, costs = roles.read(), Costs([ROW], {})
    ordinary, burst = givens.CONDITIONS[:2]
    values = roles.Values(costs, page)
    assert values.value("changes", burst) == pytest.approx(10 * values.value("changes", ordinary))
    assert values.value("cost('a', 'x', 20) + min(changes, 0)", ordinary) == pytest.approx(400)
    assert roles.Values(costs, page, {"coordinators": 7}).value("coordinators", ordinary) == 7
    with pytest.raises(NameError):
        values.value("open('x')", ordinary)


def test_numbers_are_shown_to_three_digits_and_bold_over_their_budget():
    assert [number(n) for n in (0, 0.01234, 5, 99.96, 1234, 65_000)] == [
        "0",
        "0.0123",
        "5",
        "100",
        "1,230",
        "65,000",
    ]
    assert shown(4.1, "control") == "**4.1**"
    assert shown(4.0, "control") == "4"
    assert shown(4.1, "") == "4.1"


def test_the_largest_count_within_a_budget():
    assert largest(lambda count: count**2, 100.0) == pytest.approx(10.0)


def test_a_subscription_costs_what_one_event_of_the_largest_size_took():
    small = {"subscribers": 10}
    large = {
        "subscribers": 20,
        "catalogue_mb": 7.0,
        "all_join": {"distributor_ms": 40.0, "subscriber_ms": 0.5, "updates": 20, "bytes_each": 3000},
        "renewal": {"distributor_ms": 4.0, "subscriber_ms": 0.1, "updates": 0, "bytes_each": 52},
        "ordinary": {"distributor_ms": 80.0, "subscriber_ms": 1.0, "updates": 40, "bytes_each": 300},
    }
    costs = Costs([ROW], {}, SubscriptionCosts([small, large]))
    assert costs.subscription("update", "distributor_ms") == 2.0  # 40 updates went to 20 subscribers
    assert costs.subscription("update", "bytes") == 150.0
    assert costs.subscription("renewal", "distributor_ms") == 0.2
    assert costs.subscription("join", "bytes") == 3000.0
    with pytest.raises(NotMeasured):
        Costs([ROW], {}).subscription("join", "bytes")
