"""Which bodies may be on their way to a host, by load."""

from __future__ import annotations

import pytest

from jaypost.links.grants import (
    BodyGranted,
    BodyGrants,
    BodyRefused,
    BodyRequest,
    BodyWaits,
    needs_grant,
)

# A link on which a body of 60,000 bytes takes 75 ms, with the share for bodies.
LINK_MBPS = 7.5
BODY_BYTES = 60_000
BODY_S = 0.0753


def ask(
    grants: BodyGrants,
    ticket: str,
    now: float = 0.0,
    priority: int = 1,
    latest: float = 10.0,
    may_wait: bool = True,
    body_bytes: int = BODY_BYTES,
) -> type:
    request = BodyRequest(ticket, body_bytes, priority, latest, may_wait, now)
    return type(grants.request(request))


@pytest.mark.parametrize(
    ("body_bytes", "link_mbps", "expected"),
    [
        (60_000, 7.5, True),
        (2_000, 7.5, False),
        (60_000, 100.0, False),
        (200_000, 100.0, True),
        (10_000_000, 0.0, False),
    ],
)
def test_only_bodies_that_take_a_noticeable_time_wait(
    body_bytes: int, link_mbps: float, expected: bool
) -> None:
    """Guards against a round trip more for each request of deployments with wide links."""
    assert needs_grant(body_bytes, link_mbps) is expected


def test_next_body_is_asked_for_before_the_one_on_its_way_has_arrived() -> None:
    """Load: senders in another region. Guards against a link that idles for a round trip each."""
    grants = BodyGrants(LINK_MBPS)
    assert [ask(grants, ticket) for ticket in "ab"] == [BodyGranted, BodyWaits]
    assert grants.arrived("a", BODY_BYTES // 3, 0.08) == ()
    assert grants.arrived("a", BODY_BYTES // 3, 0.1) == (BodyGranted("b"),)


def test_bodies_go_one_after_the_other() -> None:
    """Load: uploads of many hosts to one narrow link; short calls wait for one body at most."""
    grants = BodyGrants(LINK_MBPS)
    assert [ask(grants, ticket) for ticket in "abc"] == [BodyGranted, BodyWaits, BodyWaits]
    assert grants.ended("a", 0.08) == (BodyGranted("b"),)
    assert grants.ended("b", 0.16) == (BodyGranted("c"),)


def test_urgent_bodies_go_first() -> None:
    """Load: lesser uploads fill the queue before an urgent one arrives."""
    grants = BodyGrants(LINK_MBPS)
    ask(grants, "a", priority=2)
    ask(grants, "lesser", priority=2)
    ask(grants, "urgent", priority=0)
    assert grants.ended("a", 0.08) == (BodyGranted("urgent"),)


@pytest.mark.parametrize(
    ("may_wait", "latest", "outcomes"),
    [
        pytest.param(True, 10.0, [BodyGranted, *[BodyWaits] * 5], id="nowhere else to go"),
        pytest.param(
            False, 10.0, [BodyGranted, *[BodyWaits] * 3, *[BodyRefused] * 2], id="other hosts"
        ),
        pytest.param(True, 0.2, [BodyGranted, *[BodyWaits] * 1, *[BodyRefused] * 4], id="too late"),
    ],
)
def test_crest_is_refused_before_its_bodies_are_sent(
    may_wait: bool, latest: float, outcomes: list[type]
) -> None:
    """Load: a crest beyond the link. Guards against bodies that arrive only to be refused."""
    grants = BodyGrants(LINK_MBPS)
    seen = [ask(grants, str(n), may_wait=may_wait, latest=latest) for n in range(6)]
    assert seen == outcomes


@pytest.mark.parametrize("lost", ["sender is slow", "sender ends"])
def test_lost_grant_does_not_hold_up_the_others(lost: str) -> None:
    """Guards against one sender that stops after its grant, dies or is cut off."""
    grants = BodyGrants(LINK_MBPS)
    assert [ask(grants, ticket) for ticket in "ab"] == [BodyGranted, BodyWaits]
    if lost == "sender ends":
        assert grants.ended("a", 0.01) == (BodyGranted("b"),)
    else:
        assert grants.tick(0.2) == ()
        assert grants.tick(0.3) == (BodyGranted("b"),)


def test_waiting_body_is_refused_when_it_would_be_late() -> None:
    grants = BodyGrants(LINK_MBPS)
    ask(grants, "a")
    assert ask(grants, "b", latest=0.16) is BodyWaits
    assert grants.tick(0.09) == (BodyRefused("b"),)
    assert not grants.has_waiting


def test_small_bodies_are_on_their_way_together() -> None:
    """Load: many bodies of 15 ms each; the link does not idle for a round trip after each."""
    grants = BodyGrants(LINK_MBPS)
    seen = [ask(grants, str(n), body_bytes=12_000) for n in range(5)]
    assert seen == [BodyGranted, BodyGranted, BodyGranted, BodyWaits, BodyWaits]


def test_unknown_link_grants_everything() -> None:
    grants = BodyGrants(0.0)
    assert [ask(grants, str(n)) for n in range(100)] == [BodyGranted] * 100
