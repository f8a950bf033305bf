"""Guards against targets that stay listed after they failed, and against invalid announcements.

P7 is the rule that a target gets no request later than a few seconds after it announced that it
drains; see `bench.chaos_checks`.
"""

from __future__ import annotations

import json

import pytest
from admin_fakes import VALID_ANNOUNCEMENT, load_settings

from jaypost import announcements as a
from jaypost.errors import ErrorKind
from jaypost.events import EventLog
from jaypost.records import TargetState

TIMEOUT_S = 6.0


class RegistryHarness:
    def __init__(self, **changes):
        self.published = []
        self.events = EventLog(clock_ms=lambda: 0)
        self.registry = a.Announcements(
            load_settings(**changes), self.published.append, self.events
        )

    def announce(self, target_id, now, **changes):
        body = json.dumps(VALID_ANNOUNCEMENT | changes).encode()
        return self.registry.handle(a.Announce(target_id, body, now))

    def tick_until(self, end, start=0.0):
        now = start
        while now <= end:
            self.registry.handle(a.Tick(now))
            now += 0.5

    @property
    def ids(self):
        return [target.target_id for target in self.registry.targets]


@pytest.fixture
def host():
    return RegistryHarness()


@pytest.mark.parametrize(
    ("last_announced_at", "checked_at", "listed"),
    [(0.0, 5.5, True), (0.0, 6.0, True), (0.0, 6.5, False), (4.0, 10.0, True), (4.0, 10.5, False)],
)
def test_a_silent_target_is_removed(host, last_announced_at, checked_at, listed):
    """Guards against a target that stays listed after it stopped announcing itself."""
    host.announce("t1", last_announced_at)
    host.tick_until(checked_at)
    assert host.ids == (["t1"] if listed else [])
    assert (host.published[-1] == ()) is not listed


def test_a_renewed_target_stays_listed_and_is_published_once(host):
    """Guards against a publication for each renewal, and against an early removal."""
    for step in range(30):
        host.announce("t1", 2.0 * step)
        host.tick_until(2.0 * step + 1.5, start=2.0 * step)
    assert host.ids == ["t1"]
    assert len(host.published) == 1


def test_a_pause_of_the_node_does_not_remove_its_targets(host):
    """Guards against a resumed process that takes its own pause for silence of the targets."""
    host.tick_until(10.0)
    host.announce("t1", 10.0)
    host.registry.handle(a.Tick(300.0))
    assert host.ids == ["t1"]
    host.tick_until(308.0, start=300.5)
    assert host.ids == []


def test_a_withdrawn_target_is_removed_at_once(host):
    """Guards against a withdrawal that waits for the timeout, or fails when it is repeated."""
    host.announce("t1", 0.0)
    host.registry.handle(a.Withdraw("t1", 0.1))
    assert host.published[-1] == ()
    # A target repeats its withdrawal when the reply was lost.
    reply = host.registry.handle(a.Withdraw("t1", 0.2))
    assert reply == a.TargetsListed(())
    assert len(host.published) == 2


def announcement_of(born, sequence, state="ready", target_id="t1"):
    return target_id, born, sequence, state


@pytest.mark.parametrize(
    ("announced", "expected"),
    [
        pytest.param(
            [
                announcement_of(5, 1),
                announcement_of(5, 3, "draining"),
                announcement_of(5, 2),
                announcement_of(5, 4),
            ],
            {"t1": "draining"},
            id="a late announcement does not undo a drain",
        ),
        pytest.param(
            [announcement_of(5, 3, "draining"), announcement_of(6, 1)],
            {"t1": "ready"},
            id="a later start is not draining",
        ),
        pytest.param(
            [announcement_of(6, 1), announcement_of(5, 9, "draining")],
            {"t1": "ready"},
            id="an announcement of an earlier start is ignored",
        ),
        pytest.param(
            [announcement_of(5, 1), None, announcement_of(5, 2)],
            {"t1": "gone"},
            id="a late announcement does not undo a withdrawal",
        ),
        pytest.param(
            [None, announcement_of(5, 2)],
            {},
            id="a withdrawal of an unknown target covers earlier starts",
        ),
        pytest.param(
            [announcement_of(5, 1), None, announcement_of(6, 1)],
            {"t1": "ready"},
            id="a later start replaces a withdrawn one",
        ),
        pytest.param(
            [announcement_of(5, 1), None, announcement_of(6, 1), announcement_of(5, 2)],
            {"t1": "ready"},
            id="a late announcement of a withdrawn start does not withdraw the later one",
        ),
        pytest.param(
            [announcement_of(5, 1), None, announcement_of(6, 1), None],
            {"t1": "gone"},
            id="a later start is withdrawn as well",
        ),
        pytest.param(
            [announcement_of(5, 1), announcement_of(6, 1), a.Withdraw("t1", 0.0, 5)],
            {"t1": "ready"},
            id="a late withdrawal of an earlier start changes nothing",
        ),
        pytest.param(
            [a.Withdraw("t1", 0.0, 5), announcement_of(6, 1), announcement_of(6, 2)],
            {"t1": "ready"},
            id="a withdrawal of an unknown start does not cover later ones",
        ),
        pytest.param(
            [announcement_of(5, 1), a.Withdraw("t1", 0.0, 6), announcement_of(6, 1)],
            {"t1": "gone"},
            id="a withdrawal of a start that did not announce itself covers it",
        ),
        pytest.param(
            [announcement_of(5, 1), None, announcement_of(5, 2, "draining")],
            {"t1": "gone"},
            id="a late announcement of a drain does not undo a withdrawal",
        ),
        pytest.param(
            [announcement_of(5, 1, target_id="old"), announcement_of(6, 1)],
            {"t1": "ready"},
            id="a later start takes over the port at once",
        ),
        pytest.param(
            [announcement_of(6, 1), announcement_of(5, 7, target_id="old")],
            {"t1": "ready"},
            id="an earlier start does not take the port back",
        ),
    ],
)
def test_announcements_are_ordered_by_start_and_sequence(host, announced, expected):
    """Guards against a delayed announcement that undoes a drain or a withdrawal (P7).

    Also guards against a target that starts again under its id and gets no request (CONFIG).
    """
    for now, item in enumerate(announced):
        if item is None or isinstance(item, a.Withdraw):
            host.registry.handle(item or a.Withdraw("t1", now / 10))
            continue
        target_id, born, sequence, state = item
        host.announce(target_id, now / 10, born=born, sequence=sequence, state=state)
    published = host.published[-1] if host.published else ()
    assert [(t.target_id, t.state.value) for t in published] == list(expected.items())


def test_departures_are_adopted_after_a_restart(host):
    """Guards against a restarted node that sends work to a departed target (P7)."""
    host.announce("t1", 0.0, born=5, sequence=1)
    host.registry.handle(a.AdoptDepartures((a.Departure("t1", 5), a.Departure("t2", 7))))
    assert [target.state for target in host.registry.targets] == [TargetState.DRAINING]
    host.announce("t2", 0.2, born=7, sequence=9, port=9001)
    host.announce("t3", 0.2, born=7, sequence=9, port=9001)
    assert host.ids == ["t1", "t3"]


@pytest.mark.parametrize("changes", [{}, {"service": "stock", "born": 5}, {"born": 0}])
def test_announcements_of_other_services_or_without_start_are_refused(changes):
    """Guards against an announcement of another writer that replaces the target of the host."""
    host = RegistryHarness(service="orders")
    host.announce("t1", 0.0, born=5, sequence=1)
    assert isinstance(host.announce("t1", 0.1, sequence=2, **changes), a.AnnouncementRefused)
    assert [target.service for target in host.registry.targets] == ["orders"]


@pytest.mark.parametrize("announced", ["starting", "ready", "draining"])
@pytest.mark.parametrize("node_drains", [False, True])
def test_published_state_is_the_announced_one_unless_the_node_drains(host, announced, node_drains):
    """Guards against a leaving node that publishes a target as ready."""
    host.announce("t1", 0.0)
    if node_drains:
        host.registry.handle(a.DrainAll(0.5))
    reply = host.announce("t1", 1.0, state=announced)
    host.announce("t2", 1.0, state=announced, port=9001)
    expected = TargetState.DRAINING if node_drains else TargetState(announced)
    assert reply.target.state is expected
    assert {target.state for target in host.published[-1]} == {expected}


def test_drain_publishes_ready_targets_as_draining(host):
    """Guards against a drain that takes effect only at the next announcement of a target."""
    host.announce("t1", 0.0)
    host.registry.handle(a.DrainAll(0.5))
    assert [target.state for target in host.published[-1]] == [TargetState.DRAINING]


@pytest.mark.parametrize(("silence_s", "replaced"), [(1.9, False), (2.9, False), (3.1, True)])
def test_a_port_is_taken_over_only_when_its_owner_is_silent(host, silence_s, replaced):
    """Guards against a target that replaces a working one on the same port."""
    host.announce("old", 0.0)
    host.announce("new", silence_s)
    assert host.ids == (["new"] if replaced else ["old"])


def test_number_of_targets_is_bounded(host):
    """Guards against unbounded memory, and a renewal that is refused when the host is full."""
    for number in range(a.MAX_TARGETS + 5):
        reply = host.announce(f"t{number}", 0.0, port=1000 + number)
    assert len(host.ids) == a.MAX_TARGETS
    assert reply.kind is ErrorKind.BAD_REQUEST
    assert isinstance(host.announce("t0", 1.0, port=1000), a.TargetAccepted)


@pytest.mark.parametrize(
    ("target_id", "body"),
    [
        ("", VALID_ANNOUNCEMENT),
        ("x" * 65, VALID_ANNOUNCEMENT),
        ("a/b", VALID_ANNOUNCEMENT),
        ("a b", VALID_ANNOUNCEMENT),
        ("t", []),
        ("t", VALID_ANNOUNCEMENT | {"service": ""}),
        ("t", VALID_ANNOUNCEMENT | {"service": "Orders"}),
        ("t", VALID_ANNOUNCEMENT | {"service": "a\nb"}),
        ("t", VALID_ANNOUNCEMENT | {"service": None}),
        ("t", VALID_ANNOUNCEMENT | {"port": 0}),
        ("t", VALID_ANNOUNCEMENT | {"port": 65536}),
        ("t", VALID_ANNOUNCEMENT | {"port": "9000"}),
        ("t", VALID_ANNOUNCEMENT | {"port": True}),
        ("t", VALID_ANNOUNCEMENT | {"slots": 0}),
        ("t", VALID_ANNOUNCEMENT | {"slots": 10**30}),
        ("t", VALID_ANNOUNCEMENT | {"state": "gone"}),
        ("t", VALID_ANNOUNCEMENT | {"state": "Ready"}),
        ("t", VALID_ANNOUNCEMENT | {"born": -1}),
        ("t", VALID_ANNOUNCEMENT | {"born": 1.5}),
        ("t", VALID_ANNOUNCEMENT | {"sequence": -1}),
        ("t", VALID_ANNOUNCEMENT | {"address": "127.0.0.1"}),
        ("t", VALID_ANNOUNCEMENT | {"address": "10.0.0.1:9000"}),
        ("t", {"service": "orders"}),
    ],
)
def test_invalid_announcements_are_refused_and_change_nothing(host, target_id, body):
    """Guards against invalid identifiers, addresses or values that are published."""
    reply = host.registry.handle(a.Announce(target_id, json.dumps(body).encode(), 0.0))
    assert isinstance(reply, a.AnnouncementRefused)
    assert reply.kind is ErrorKind.BAD_REQUEST
    assert reply.reason
    assert host.published == []


@pytest.mark.parametrize(
    ("body", "born"),
    [
        (b'{"born": 7, "x": 1}', 7),
        (b"{}", 0),
        (b"", 0),
        (b"{", 0),
        (b'{"born": "7"}', 0),
        (b'{"born": 7.5}', 0),
        (b'{"born": -1}', 0),
        (b'{"born": 99999999999999999999}', 0),
        (b"[" * 100_000, 0),
    ],
)
def test_withdrawals_without_a_valid_start_are_of_the_present_one(body, born):
    """Guards against a withdrawal of another writer that is refused or outlasts later starts."""
    assert a.parse_withdrawal(body) == born


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b'{"service":"\xff"}', b"[" * 100_000])
def test_bytes_that_are_not_json_are_refused(host, body):
    """Guards against a decoding error that escapes to the admin server."""
    assert isinstance(host.registry.handle(a.Announce("t", body, 0.0)), a.AnnouncementRefused)


async def test_timer_can_be_started_and_closed_more_than_once(host):
    """Guards against a second timer, and an error when there is none to stop."""
    host.registry.start()
    host.registry.start()
    await host.registry.close()
    await host.registry.close()
